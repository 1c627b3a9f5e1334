#include "system/support.hpp"

#include <algorithm>
#include <csignal>

namespace caraway::tests {

namespace {

/// Writing to a closed connection must not terminate the test program.
bool const sigpipe_ignored = std::signal(SIGPIPE, SIG_IGN) != SIG_ERR;

std::string route(std::string const& name, std::string const& method, std::string const& service,
                  bool idempotent, std::string const& priority, bool open = false) {
    return "[routes." + name + "]\nmethod = \"" + method + "\"\npath = \"/" + (open ? "open/" : "") +
           service + "\"\nservice = \"" + service + "\"\nidempotent = " + (idempotent ? "true" : "false") +
           "\nclass = \"" + priority + "\"\ndeadline_ms = 60000\nopen = " + (open ? "true" : "false") + "\n";
}

} // namespace

std::string base_configuration(double rate, double burst) {
    std::string text;
    for (std::string const name : {"north", "south"}) {
        text += "[organisations." + name + "]\nrate = " + std::to_string(rate) +
                "\nburst = " + std::to_string(burst) + "\n";
    }
    text += key_entry("first", "north", first_key) + key_entry("second", "south", second_key);
    for (std::string const name : {"front", "middle", "back"}) {
        text += "[services." + name + "]\nslots = 50\nconnections = 400\n";
        text += route("get_" + name, "GET", name, true, "normal");
        text += route("post_" + name, "POST", name, false, "critical");
    }
    text += route("open_front", "GET", "front", true, "background", true);
    return text + "[failure_domains.a]\nweight = 0.5\n[failure_domains.b]\nweight = 0.5\n";
}

std::vector<fleet_host> chain_hosts() {
    std::vector<fleet_host> hosts;
    for (std::string const domain : {"a", "b"}) {
        hosts.push_back(make_host("front-" + domain, domain, "front", 2, {{"GET", "/middle"}}));
        hosts.push_back(make_host("middle-" + domain, domain, "middle", 2, {{"GET", "/back"}}));
        hosts.push_back(make_host("back-" + domain, domain, "back", 2));
    }
    return hosts;
}

std::vector<fleet_host> flat_hosts() {
    std::vector<fleet_host> hosts;
    for (std::string const domain : {"a", "b"}) {
        hosts.push_back(make_host("front-" + domain + "-1", domain, "front", 2));
        hosts.push_back(make_host("front-" + domain + "-2", domain, "front", 2));
    }
    return hosts;
}

header_map with_key(std::string const& key) {
    return {{"Authorization", bearer(key)}};
}

std::string get_ticket(fleet& system, std::size_t index, std::string const& path) {
    return system.call(index, "POST", path, with_key()).header("Idempotency-Key");
}

header_map with_ticket(std::string const& ticket, std::string const& key) {
    return {{"Authorization", bearer(key)}, {"Idempotency-Key", ticket}};
}

bool wait_configuration_revision(fleet& system, std::uint64_t revision, std::chrono::milliseconds limit) {
    return wait_until(
        [&] {
            for (std::size_t index = 0; index < system.size(); ++index) {
                bool const running = system.node(index).process > 0;
                if (running &&
                    system.status_field(index, "configuration_revision") != std::to_string(revision)) {
                    return false;
                }
            }
            return true;
        },
        limit);
}

int max_runs_per_request(fleet const& system) {
    int most = 0;
    for (auto const& [name, count] : system.runs()) {
        most = std::max(most, count);
    }
    return most;
}

} // namespace caraway::tests
