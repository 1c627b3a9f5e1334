/// Faults of real processes: shutdown, kill, pause, silent connections, partitions, requests that crash their
/// target and nodes without the fleet secret; also two faults at once.

#include "system/support.hpp"

#include <algorithm>
#include <csignal>
#include <thread>

using namespace caraway;
using namespace caraway::tests;

namespace {

using clock_type = std::chrono::steady_clock;

/// Sends requests from one thread per entry node until stopped, and counts the answers by outcome.
class steady_load {
public:
    steady_load(fleet& system, std::vector<std::size_t> entries, std::string request_path = "/front")
        : fleet_under_load(system), path(std::move(request_path)) {
        for (auto const entry : entries) {
            this->threads.emplace_back([this, entry] { this->run(entry); });
        }
    }
    ~steady_load() { this->stop(); }

    void stop() {
        this->stopping = true;
        for (auto& thread : this->threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    std::atomic<int> ran{0};
    std::atomic<int> refused{0};
    std::atomic<int> unanswered{0}; ///< The connection failed, closed or timed out without an answer.
    std::atomic<int> unknown{0};

private:
    void run(std::size_t entry) {
        test_client client(this->fleet_under_load.node(entry).ip, callers_port);
        while (!this->stopping) {
            auto const answer = client.request("GET", this->path, with_key());
            auto const outcome = answer.outcome();
            this->ran += outcome == "ran" && answer.status == 200 ? 1 : 0;
            this->unanswered += answer.status == 0 ? 1 : 0;
            this->unknown += outcome == "unknown" ? 1 : 0;
            this->refused += outcome == "not-run" || outcome == "not-forwarded" ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }

    fleet& fleet_under_load;
    std::string path;
    std::atomic<bool> stopping{false};
    std::vector<std::thread> threads;
};

/// Replays the admissions of an organisation against one token bucket and returns by how many requests they
/// exceeded it at most.
double max_bucket_excess(std::vector<double> admitted_ms, double rate, double burst) {
    std::ranges::sort(admitted_ms);
    double level = burst;
    double last = admitted_ms.empty() ? 0 : admitted_ms.front();
    double worst = -burst;
    for (double const at : admitted_ms) {
        level = std::min(burst, level + rate * (at - last) / 1000) - 1;
        last = at;
        worst = std::max(worst, -level);
    }
    return worst;
}

/// Sends requests through all nodes as fast as they are answered, from three threads per node. `stop` returns
/// the times in milliseconds at which an answer "ran" arrived.
class saturating_load {
public:
    explicit saturating_load(fleet& system) {
        for (std::size_t index = 0; index < system.size(); ++index) {
            for (int copy = 0; copy < 3; ++copy) {
                this->threads.emplace_back([this, &system, index] { this->run(system, index); });
            }
        }
    }
    std::vector<double> stop() {
        this->stopping = true;
        for (auto& thread : this->threads) {
            thread.join();
        }
        return this->admitted;
    }

private:
    void run(fleet& system, std::size_t index) {
        test_client client(system.node(index).ip, callers_port);
        while (!this->stopping) {
            auto const answer =
                client.request("GET", "/front?work_ms=0", with_key(), "", std::chrono::seconds(3));
            if (answer.outcome() == "ran") {
                std::lock_guard const guard(this->mutex);
                auto const now = clock_type::now().time_since_epoch();
                this->admitted.push_back(std::chrono::duration<double, std::milli>(now).count());
            } else {
                std::this_thread::sleep_for(std::chrono::milliseconds(answer.status == 0 ? 50 : 1));
            }
        }
    }

    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<double> admitted;
    std::vector<std::thread> threads;
};

} // namespace

TEST_CASE("a graceful shutdown interrupts no request, and the leaving target gets no new work") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    steady_load load(system, {1, 2, 3}, "/front?work_ms=20");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    // A caller of the leaving node itself, with a request in flight.
    client_answer own_answer;
    std::thread own_caller([&] { own_answer = system.call(0, "GET", "/front?work_ms=800", with_key()); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    system.send_signal(0, SIGTERM);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    auto const runs = system.node(0).target->run_count();
    int code = -1;
    CHECK(system.wait_exit(0, std::chrono::seconds(10), code));
    CHECK(code == 0);
    own_caller.join();
    CHECK(own_answer.outcome() == "ran");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    load.stop();
    CHECK(system.node(0).target->run_count() == runs);
    CHECK(load.unanswered == 0);
    CHECK(load.unknown == 0);
    CHECK(load.refused == 0);
    CHECK(load.ran > 100);
}

// Whoever still waited at the end of the drain time got no answer, not even that the outcome was unknown.
TEST_CASE("at the end of its drain time a node answers every caller that still waits") {
    fleet system({.configuration = base_configuration(),
                  .hosts = flat_hosts(),
                  .extra_settings = "[limits]\ndrain_ms = 3000\n"});
    REQUIRE(system.wait_ready());
    client_answer own_answer;
    client_answer other_answer;
    std::thread own_caller([&] { own_answer = system.call(0, "GET", "/front?hang=1", with_key()); });
    std::thread other_caller([&] { other_answer = system.call(1, "GET", "/front?hang=1", with_key()); });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    system.send_signal(0, SIGTERM);
    int code = -1;
    CHECK(system.wait_exit(0, std::chrono::seconds(10), code));
    CHECK(code == 0);
    own_caller.join();
    CHECK(own_answer.status == 502);
    CHECK(own_answer.outcome() == "unknown");
    system.send_signal(1, SIGTERM);
    CHECK(system.wait_exit(1, std::chrono::seconds(10), code));
    other_caller.join();
    CHECK(other_answer.outcome() == "unknown");
}

// The drain ended with the last call, 0.2 s before the process, although callers were still reading answers.
TEST_CASE("a draining node stays until its callers have read their answers") {
    constexpr std::size_t answer_bytes = 7'000'000;
    fleet system({.configuration = base_configuration(),
                  .hosts = flat_hosts(),
                  .extra_settings = "[limits]\nmax_body = 8388608\n"});
    REQUIRE(system.wait_ready());
    std::vector<std::unique_ptr<test_client>> readers;
    for (int index = 0; index < 3; ++index) {
        readers.push_back(std::make_unique<test_client>(system.node(0).ip, callers_port));
        REQUIRE(readers.back()->send_raw("GET /front?size=" + std::to_string(answer_bytes) +
                                         " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + first_key +
                                         "\r\n\r\n"));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    system.send_signal(0, SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    for (auto& reader : readers) {
        auto const answer = reader->read_answer();
        CHECK(answer.status == 200);
        CHECK(answer.body.size() == answer_bytes);
        reader->close();
    }
    int code = -1;
    CHECK(system.wait_exit(0, std::chrono::seconds(10), code));
    CHECK(code == 0);
}

TEST_CASE("a host that is listed as leaving gets no new work after a few seconds") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    steady_load load(system, {1, 2, 3});
    system.node(0).leaving = true;
    system.publish_hosts();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    auto const runs = system.node(0).target->run_count();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    load.stop();
    CHECK(system.node(0).target->run_count() == runs);
    CHECK(load.unanswered == 0);
    CHECK(load.unknown == 0);
}

TEST_CASE("when a host is killed, every caller of the other hosts still gets an answer") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    steady_load load(system, {1, 2, 3}, "/front?work_ms=20");
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    system.kill(0);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    int const before = load.ran;
    std::this_thread::sleep_for(std::chrono::seconds(1));
    load.stop();
    CHECK(load.unanswered == 0);
    CHECK(load.ran > before);
}

TEST_CASE("permanently silent links are replaced, and requests on them are answered in time") {
    fleet system({.configuration = base_configuration(), .hosts = chain_hosts()});
    REQUIRE(system.wait_ready());
    for (std::size_t index = 0; index < system.size(); ++index) {
        system.node(index).proxy->set_fault(link_fault::silent, [](std::string const&) { return true; });
    }
    auto headers = with_key();
    headers["X-Request-Timeout-Ms"] = "4000";
    auto const begin = clock_type::now();
    auto const during = system.call(0, "GET", "/front", headers);
    CHECK(during.status != 0);
    CHECK(clock_type::now() - begin < std::chrono::seconds(5));
    CHECK(wait_until([&] { return system.call(0, "GET", "/front", headers).status == 200; },
                     std::chrono::seconds(5)));
    CHECK(wait_until([&] { return std::stoi("0" + system.status_field(0, "links_silent")) > 0; },
                     std::chrono::seconds(2)));
}

TEST_CASE("a failure domain cut off from the others and the platform still serves, within the rate limit") {
    constexpr double rate = 200;
    constexpr double burst = 100;
    auto const configuration = base_configuration(rate, burst);
    fleet system({.configuration = configuration, .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    saturating_load callers(system);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    system.set_domain_fault(link_fault::cut, "b");
    system.platform_proxy("b").set_fault(link_fault::cut, [](std::string const&) { return true; });
    std::this_thread::sleep_for(std::chrono::seconds(6));
    bool served = false;
    for (int attempt = 0; attempt < 50 && !served; ++attempt) {
        served = system.call(2, "GET", "/front", with_key(second_key)).status == 200;
    }
    CHECK(served);
    // Requests with a ticket run at most once inside the isolated domain, too.
    auto const ticket = system.call(2, "POST", "/front", with_key(second_key)).header("Idempotency-Key");
    for (std::size_t const index : {2, 3, 2}) {
        system.call(index, "POST", "/front", with_ticket(ticket, second_key), "pay");
    }
    system.clear_faults();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    auto const admitted = callers.stop();
    CHECK(system.wait_ready());
    // A run is recorded when its answer arrives, later than its admission by the duration of the request, so
    // runs may seem closer together than they were admitted.
    CHECK(max_bucket_excess(admitted, rate, burst) <= rate * 0.25);
    CHECK(static_cast<double>(admitted.size()) > rate * 5);
    for (auto const& [number, count] : system.runs()) {
        CHECK((count == 1 || number.size() != 32));
    }
}

TEST_CASE("the rate limit holds during restarts, a pause and a kill together") {
    constexpr double rate = 300;
    constexpr double burst = 60;
    fleet system({.configuration = base_configuration(rate, burst), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    saturating_load callers(system);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    system.send_signal(1, SIGSTOP);
    system.kill(2);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    system.start(2);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    system.send_signal(1, SIGCONT);
    system.kill(0);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    system.start(0);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    auto const admitted = callers.stop();
    CHECK(max_bucket_excess(admitted, rate, burst) <= rate * 0.25);
    CHECK(admitted.size() > 100);
}

TEST_CASE("a request that crashes targets crashes at most two of them, and other callers still get answers") {
    auto hosts = flat_hosts();
    fleet system({.configuration = base_configuration(), .hosts = hosts});
    REQUIRE(system.wait_ready());
    steady_load load(system, {1, 3}, "/front?work_ms=1");
    auto poison = with_key();
    poison["X-Request-Timeout-Ms"] = "2000";
    for (int attempt = 0; attempt < 12; ++attempt) {
        auto const entry = static_cast<std::size_t>(attempt) % system.size();
        auto const answer = system.call(entry, "GET", "/front?crash=1", poison);
        CHECK(answer.status != 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    std::uint64_t crashes = 0;
    for (std::size_t index = 0; index < system.size(); ++index) {
        crashes += system.node(index).target->crash_count();
    }
    CHECK(crashes <= 2);
    CHECK(crashes >= 1);
    auto const last = system.call(0, "GET", "/front?crash=1", poison);
    CHECK(last.code() == static_cast<int>(result_code::quarantined));
    CHECK(last.outcome() == "not-run");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    load.stop();
    CHECK(load.unanswered == 0);
    CHECK(load.ran > 100);
}

TEST_CASE("a node without the fleet secret is refused and counted, and gets no work") {
    auto hosts = flat_hosts();
    fleet system({.configuration = base_configuration(), .hosts = hosts});
    REQUIRE(system.wait_ready());
    system.kill(0);
    system.node(0).has_wrong_secret = true;
    auto const before = system.node(0).target->run_count();
    system.start(0);
    CHECK(wait_until([&] { return std::stoi("0" + system.status_field(1, "links_refused")) > 0; },
                     std::chrono::seconds(10)));
    for (int count = 0; count < 20; ++count) {
        system.call(1, "GET", "/front", with_key());
    }
    CHECK(system.node(0).target->run_count() == before);
}

TEST_CASE("two faults at once: a failure domain is cut off and a host in it is killed") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    auto const ticket = get_ticket(system, 2, "/front");
    system.set_domain_fault(link_fault::cut, "b");
    system.kill(3);
    auto const during = system.call(2, "GET", "/front", with_key());
    CHECK(during.status != 0);
    CHECK(wait_until([&] { return system.call(2, "GET", "/front", with_key()).status == 200; },
                     std::chrono::seconds(5)));
    system.call(2, "POST", "/front", with_ticket(ticket), "pay");
    system.clear_faults();
    system.start(3);
    REQUIRE(system.wait_ready());
    for (std::size_t index = 0; index < system.size(); ++index) {
        CHECK(system.call(index, "POST", "/front", with_ticket(ticket), "pay").status != 0);
    }
    for (auto const& [number, count] : system.runs()) {
        CHECK((count == 1 || number.size() != 32));
    }
}

TEST_CASE("two faults at once: a host is paused and removed from the host list meanwhile") {
    fleet system({.configuration = base_configuration(), .hosts = flat_hosts()});
    REQUIRE(system.wait_ready());
    auto const ticket = get_ticket(system, 1, "/front");
    system.send_signal(0, SIGSTOP);
    system.node(0).listed = false;
    system.publish_hosts();
    std::this_thread::sleep_for(std::chrono::seconds(5));
    auto headers = with_ticket(ticket);
    headers["X-Request-Timeout-Ms"] = "2000";
    system.call(1, "POST", "/front", headers, "pay");
    system.send_signal(0, SIGCONT);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    // The resumed host is no longer listed, so it must not own any rate pool.
    CHECK(system.status_field(0, "rights.may_act") == "false");
    for (std::size_t const index : {1, 2, 3, 0}) {
        system.call(index, "POST", "/front", headers, "pay");
    }
    for (auto const& [number, count] : system.runs()) {
        CHECK((count == 1 || number.size() != 32));
    }
}

// Each lost answer used to count as a crash of its own, so that one restart put the request under quarantine.
TEST_CASE("identical requests that were under way when a target restarted run again") {
    fleet system({.configuration = base_configuration(),
                  .hosts = {make_host("a-1", "a", "front", 8), make_host("b-1", "b", "front", 8)}});
    REQUIRE(system.wait_ready());
    auto& target = *system.node(0).target;
    auto const before = target.run_count();
    std::vector<std::thread> callers;
    for (int index = 0; index < 6; ++index) {
        callers.emplace_back([&system] { system.call(0, "GET", "/front?work_ms=600", with_key()); });
    }
    REQUIRE(wait_until([&] { return target.run_count() >= before + 3; }, std::chrono::seconds(5)));
    target.restart(1500, 0);
    for (auto& caller : callers) {
        caller.join();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    for (int index = 0; index < 3; ++index) {
        CHECK(system.call(1, "GET", "/front?work_ms=600", with_key()).outcome() == "ran");
    }
}
