#include "node/request_intake.hpp"

#include <algorithm>
#include <functional>

namespace caraway {

namespace {

/// Null unless the event is a message of the given type.
template <typename Message>
Message const* message_of(core_event const& event) {
    auto const* link = std::get_if<link_event>(&event);
    bool const is_message = link != nullptr && link->kind == link_event_kind::received;
    return is_message ? std::get_if<Message>(&link->content) : nullptr;
}

} // namespace

event_group group_of(core_event const& event) {
    if (std::holds_alternative<listener_request>(event) || message_of<forward_message>(event) != nullptr) {
        return event_group::request;
    }
    if (std::holds_alternative<disconnect_event>(event) || message_of<cancel_message>(event) != nullptr) {
        return event_group::ending;
    }
    return event_group::other;
}

void order_arrivals(std::vector<std::unique_ptr<core_event>>& events) {
    std::ranges::stable_sort(events, std::less{},
                             [](std::unique_ptr<core_event> const& event) { return group_of(*event); });
}

void request_intake::add(item&& arrived) {
    auto const number = this->next_number++;
    if (auto const* request = std::get_if<listener_request>(&arrived)) {
        this->requests[{request->side, request->id}] = number;
    } else {
        auto const& event = std::get<link_event>(arrived);
        this->forwarded[{event.peer.host, std::get<forward_message>(event.content).call_id}] = number;
    }
    this->items.emplace(number, std::move(arrived));
}

std::optional<request_intake::item> request_intake::take_next() {
    if (this->items.empty()) {
        return std::nullopt;
    }
    auto next = std::move(this->items.begin()->second);
    this->items.erase(this->items.begin());
    if (auto const* request = std::get_if<listener_request>(&next)) {
        this->requests.erase({request->side, request->id});
    } else {
        auto const& event = std::get<link_event>(next);
        this->forwarded.erase({event.peer.host, std::get<forward_message>(event.content).call_id});
    }
    return next;
}

bool request_intake::remove_request(listener_side side, std::uint64_t id) {
    auto const found = this->requests.extract({side, id});
    return !found.empty() && this->items.erase(found.mapped()) > 0;
}

bool request_intake::remove_forwarded(std::string const& host, std::uint64_t call_id) {
    auto const found = this->forwarded.extract({host, call_id});
    return !found.empty() && this->items.erase(found.mapped()) > 0;
}

std::size_t request_intake::remove_connection(connection_id connection) {
    return std::erase_if(this->forwarded, [this, connection](auto const& entry) {
        auto const found = this->items.find(entry.second);
        bool const is_lost = std::get<link_event>(found->second).connection == connection;
        if (is_lost) {
            this->items.erase(found);
        }
        return is_lost;
    });
}

} // namespace caraway
