/// A stand-in for the registry of the users' platform: a key-value store that is read by key or, in pages, by
/// prefix, and watched by revision.
#pragma once

#include "standins/http_service.hpp"

#include <QJsonObject>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace caraway::standins {

/// `down` answers every request with 503; `silent` answers none; `slow` answers each 200 ms late.
enum class registry_fault : std::uint8_t { none, down, silent, slow };

class registry_standin {
public:
    registry_standin(std::string const& address, std::uint16_t port);

    void put(std::string const& key, std::string value);
    void remove(std::string const& key);
    /// Discards the history of changes; watches from an older revision are answered with 410.
    void compact();
    /// Keeps a copy of the whole state for `restore`.
    void take_copy();
    /// Goes back to the copy: later writes are lost, their revisions will be given out again, and the era
    /// rises.
    void restore();
    /// The era in every answer's header; an empty text omits the field.
    void set_era(std::string text);
    void set_fault(registry_fault wanted) { this->fault = wanted; }
    std::uint64_t call_count() const { return this->calls; }

private:
    struct item {
        std::string value;
        std::uint64_t revision{0};
        std::uint64_t create_revision{0};
    };
    struct change {
        std::uint64_t revision{0};
        std::string key;
        std::optional<item> new_item; ///< Empty when the key was removed.
    };

    asio::awaitable<http_response> handle(http_request request);
    asio::awaitable<http_response> make_answer(http_request request);
    http_response read_key(std::string const& key);
    http_response read_range(std::string const& prefix, std::string const& after);
    std::optional<http_response> changes_after(std::string const& prefix, std::uint64_t after);
    static QJsonObject to_json(std::string const& key, item const& entry);

    std::mutex mutex;
    std::string era_text{"1"};
    std::uint64_t era{1};
    std::map<std::string, item> items;
    std::map<std::string, item> copied_items;
    std::uint64_t copied_revision{0};
    std::vector<change> history;
    std::uint64_t revision{1};
    std::uint64_t compacted{0};
    std::atomic<registry_fault> fault{registry_fault::none};
    std::atomic<std::uint64_t> calls{0};
    http_service service;
};

} // namespace caraway::standins
