/// Requests that have arrived and for which nothing has been done yet.
///
/// Whatever arrives in one turn of the loop is taken in before any of these requests is started, so that the
/// end of a request removes it here, without a trace.
#pragma once

#include "node/core_event.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace caraway {

/// The order in which the events of one turn are handled; events of a kind keep the order of their arrival.
enum class event_group : std::uint8_t {
    request, ///< Of a caller, of the own target, or passed on by another host; only taken in.
    ending,  ///< Somebody does not wait any more.
    other,
};

event_group group_of(core_event const& event);

/// Orders what has arrived in one turn by its groups.
void order_arrivals(std::vector<std::unique_ptr<core_event>>& events);

class request_intake {
public:
    /// A request of a listener, or a `link_event` that carries a `forward_message`.
    using item = std::variant<listener_request, link_event>;

    void add(item&& arrived);

    /// The oldest request whose end has not arrived; empty when there is none.
    std::optional<item> take_next();

    /// False when no such request waits here.
    bool remove_request(listener_side side, std::uint64_t id);
    bool remove_forwarded(std::string const& host, std::uint64_t call_id);
    /// Removes what arrived on a connection that has closed. Returns the number of requests.
    std::size_t remove_connection(connection_id connection);

    std::size_t size() const { return this->items.size(); }

private:
    using listener_key = std::pair<listener_side, std::uint64_t>;
    using forwarded_key = std::pair<std::string, std::uint64_t>; ///< Host and its id of the attempt.

    std::uint64_t next_number{0};
    std::map<std::uint64_t, item> items; ///< By order of arrival.
    std::map<listener_key, std::uint64_t> requests;
    std::map<forwarded_key, std::uint64_t> forwarded;
};

} // namespace caraway
