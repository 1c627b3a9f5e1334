/// Measures how state, messages, time and memory grow with the size of the fleet. docs/CAPACITY.md uses the
/// slopes.

#include "base/clock.hpp"
#include "config/bundle.hpp"
#include "link/codec.hpp"
#include "link/link_hub.hpp"
#include "membership/rate_lease_manager.hpp"
#include "node/host_list.hpp"
#include "support/resident_memory.hpp"

#include <atomic>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <thread>

namespace {

using namespace caraway;

/// Resident memory after the heap has returned its unused pages to the kernel.
std::size_t resident_kilobytes() {
    ::malloc_trim(0);
    return tests::resident_kilobytes();
}

template <typename Action>
double milliseconds_of(Action&& action) {
    auto const begin = monotonic_clock::now();
    action();
    return (monotonic_clock::now() - begin).milliseconds;
}

item_set make_items(std::size_t organisations, std::size_t keys) {
    item_set items;
    auto const put = [&](std::string const& section, std::string const& item, std::string const& name,
                         auto value) { items[section][item][name].value = value; };
    put("failure_domains", "d", "weight", 1.0);
    for (std::size_t index = 0; index < organisations; ++index) {
        put("organisations", "org-" + std::to_string(index), "rate", 100.0);
        put("organisations", "org-" + std::to_string(index), "burst", 50.0);
    }
    for (std::size_t index = 0; index < keys; ++index) {
        auto const digits = std::to_string(index);
        put("keys", "key-" + digits, "organisation", "org-" + std::to_string(index % organisations));
        put("keys", "key-" + digits, "sha256", std::string(64 - digits.size(), '0') + digits);
    }
    return items;
}

bundle make_bundle_or_empty(item_set const& items, std::uint64_t revision) {
    return attempt_or([&] { return make_bundle(items, revision); }, [](problem const&) { return bundle{}; });
}

std::size_t total_bytes(bundle const& packed) {
    std::size_t total = packed.manifest_text.size();
    for (auto const& [name, text] : packed.values) {
        total += text.size();
    }
    return total;
}

/// Bytes that one node fetches when the bundle `after` replaces `before`.
std::size_t changed_bytes(bundle const& before, bundle const& after) {
    std::size_t total = after.manifest_text.size();
    for (auto const& [name, text] : after.values) {
        auto const found = before.values.find(name);
        total += found != before.values.end() && found->second == text ? 0 : text.size();
    }
    return total;
}

void measure_keys() {
    std::cout << "\n| Keys | Bundle bytes | Values | Bytes for one changed key | Check ms | Memory of the "
                 "table kB |\n"
                 "|---|---|---|---|---|---|\n";
    for (std::size_t const keys : {10U, 1000U, 10'000U, 100'000U}) {
        auto items = make_items(1000, keys);
        auto const packed = make_bundle_or_empty(items, 1);
        items["keys"].erase("key-5");
        auto const changed = make_bundle_or_empty(items, 2);
        items.clear();
        auto const before = resident_kilobytes();
        configuration_pointer compiled;
        double const taken = milliseconds_of([&] {
            compiled = attempt_or([&] { return compile_bundle(packed); },
                                  [](problem const&) { return configuration_pointer{}; });
        });
        std::cout << "| " << keys << " | " << total_bytes(packed) << " | " << packed.values.size() << " | "
                  << changed_bytes(packed, changed) << " | " << std::setprecision(1) << std::fixed << taken
                  << " | " << resident_kilobytes() - before << " |\n";
    }
}

void measure_hosts() {
    std::cout << "\n| Hosts | List bytes | Bytes for one changed host | Cut ms | Read ms "
                 "|\n|---|---|---|---|---|\n";
    for (int const count : {17, 410, 4100}) {
        host_list list{.revision = 1};
        for (int index = 0; index < count; ++index) {
            list.hosts.push_back({"host-" + std::to_string(index), "domain-" + std::to_string(index % 7),
                                  "service-" + std::to_string(index % 150),
                                  "10.0.0." + std::to_string(index % 250) + ":7002", false});
        }
        bundle packed;
        double const pack_ms = milliseconds_of([&] { packed = make_host_list_bundle(list); });
        list.hosts[3].leaving = true;
        auto const changed = make_host_list_bundle(list);
        double const read_ms = milliseconds_of([&] {
            attempt_or(
                [&]() -> result<bool> {
                    BOOST_LEAF_CHECK(parse_host_list_bundle(packed));
                    return true;
                },
                [](problem const&) { return false; });
        });
        std::cout << "| " << count << " | " << total_bytes(packed) << " | " << changed_bytes(packed, changed)
                  << " | " << pack_ms << " | " << read_ms << " |\n";
    }
}

void measure_rate_leases() {
    std::cout << "\n| Hosts in the domain | Organisations | Want served us | Tick us (8 active) | Count "
                 "served us |\n"
                 "|---|---|---|---|---|\n";
    for (int const hosts : {4, 60, 590}) {
        for (int const organisations : {8, 1000}) {
            double now = 1000;
            rate_lease_manager node("host-0", "domain", 1, {}, {now});
            std::unordered_map<std::string, rate_limit> rate_limits;
            for (int index = 0; index < organisations; ++index) {
                rate_limits["org-" + std::to_string(index)] = {100, 50};
            }
            node.configure(rate_limits, {now});
            domain_hosts listed;
            for (int index = 0; index < hosts; ++index) {
                listed["domain"].insert("host-" + std::to_string(index));
            }
            node.update_hosts(listed, {now});
            for (int index = 0; index < 8; ++index) {
                node.try_admit("org-" + std::to_string(index), 0, {now});
            }
            constexpr int rounds = 2000;
            double const token_request_ms = milliseconds_of([&] {
                for (int round = 0; round < rounds; ++round) {
                    node.receive(
                        "host-1",
                        token_request_message{.organisation = "org-3", .shard = 1, .amount = one_token},
                        {now});
                }
            });
            double const periodic_tasks_ms = milliseconds_of([&] {
                for (int round = 0; round < rounds; ++round) {
                    now += 10;
                    node.run_periodic_tasks({now}, {});
                    node.take_outgoing_messages();
                }
            });
            double const membership_request_ms = milliseconds_of([&] {
                for (int round = 0; round < rounds; ++round) {
                    node.receive("host-1", membership_request_message{.sequence = 1, .incarnation = 1},
                                 {now});
                    node.take_outgoing_messages();
                }
            });
            std::cout << "| " << hosts << " | " << organisations << " | " << std::setprecision(2)
                      << token_request_ms * 1000 / rounds << " | " << periodic_tasks_ms * 1000 / rounds
                      << " | " << membership_request_ms * 1000 / rounds << " |\n";
        }
    }
}

void measure_links() {
    std::cout << "\n| Link ends | Memory for each end kB |\n|---|---|\n";
    std::atomic<int> opened{0};
    auto const sink = [&](link_event&& event) {
        opened += event.kind == link_event_kind::opened ? 1 : 0;
        return true;
    };
    for (int const count : {10, 100, 300}) {
        opened = 0;
        link_hub server({"server", 1}, "secret", 1'000'000, sink);
        link_hub client({"client", 1}, "secret", 1'000'000, sink);
        std::string const address = "127.0.0.1:" + std::to_string(19'000 + count);
        attempt_or(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(server.listen(address));
                return true;
            },
            [](problem const&) { return false; });
        auto const before = resident_kilobytes();
        for (int index = 1; index <= count; ++index) {
            client.dial(static_cast<connection_id>(index), address);
        }
        for (int wait = 0; wait < 500 && opened < 2 * count; ++wait) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        std::cout << "| " << opened << " | " << std::setprecision(1)
                  << static_cast<double>(resident_kilobytes() - before) / (2 * count) << " |\n";
    }
}

void measure_messages() {
    forward_message request{.call_id = 1,
                            .request_id = "0123456789abcdef",
                            .organisation = "org",
                            .route = "route",
                            .method = "GET",
                            .path = "/path",
                            .trace_id = std::string(32, 'a'),
                            .parent_span = std::string(16, 'b')};
    answer_message answer{.admissions = {{"service", {1, 1, 1}}, {"deeper", {1, 1, 1}}}};
    std::cout << "\n| Message | Bytes |\n|---|---|\n"
              << "| ping | " << encode(ping_message{}).size() + 4 << " |\n| gossip | "
              << encode(gossip_message{}).size() + 4 << " |\n| want tokens | "
              << encode(
                     token_request_message{.organisation = "org", .amount = one_token, .usages = {{1, 2, 3}}})
                         .size() +
                     4
              << " |\n| count me | " << encode(membership_request_message{.members_digest = ~0ULL}).size() + 4
              << " |\n| forward without body | " << encode(request).size() + 4
              << " |\n| answer without body | " << encode(answer).size() + 4 << " |\n";
    constexpr int rounds = 20'000;
    double const taken = milliseconds_of([&] {
        for (int round = 0; round < rounds; ++round) {
            attempt_or(
                [&]() -> result<bool> {
                    BOOST_LEAF_CHECK(decode(encode(request)));
                    return true;
                },
                [](problem const&) { return false; });
        }
    });
    std::cout << "\nOne forward written and read: " << taken * 1000 / rounds << " us.\n";
}

} // namespace

int main() {
    measure_keys();
    measure_hosts();
    measure_rate_leases();
    measure_links();
    measure_messages();
    return 0;
}
