/// Requests through two real node processes on the users' platform, with stand-ins for its registry and
/// targets.

#include "standins/fleet.hpp"
#include "standins/node_process.hpp"
#include "standins/registry_standin.hpp"
#include "standins/test_client.hpp"

#include "base/digest.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace caraway;
using namespace caraway::standins;

namespace {

constexpr std::uint16_t caller_listener_port = 7100;
constexpr std::uint16_t readiness_listener_port = 7101;
constexpr std::uint16_t link_listener_port = 7102;
constexpr std::uint16_t operator_listener_port = 7103;
constexpr std::uint16_t target_listener_port = 7104;
constexpr std::uint16_t registry_listener_port = 7105;

/// A target that adds a Server-Seal header to its answers and records the requests it receives. For "/front/"
/// it first calls "/back/" through its node.
class sealing_target {
public:
    sealing_target(std::string ip_number, std::string instance_name)
        : ip(std::move(ip_number)), instance(std::move(instance_name)),
          service(this->ip, target_listener_port,
                  [this](http_request request) { return this->handle(std::move(request)); }) {}

    std::vector<http_request> received_requests() {
        std::lock_guard const guard(this->mutex);
        return this->requests;
    }
    /// The greatest number of requests in any window of this length.
    std::size_t most_in_window(std::chrono::milliseconds window) {
        std::lock_guard const guard(this->mutex);
        std::size_t most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            auto const end = std::upper_bound(first, this->arrivals.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
    /// Every answer has this field from now on; `arrivals` are counted anew.
    void set_statement(std::string name, std::string value) {
        std::lock_guard const guard(this->mutex);
        this->statement = {std::move(name), std::move(value)};
        this->arrivals.clear();
    }
    std::size_t arrival_count() {
        std::lock_guard const guard(this->mutex);
        return this->arrivals.size();
    }

private:
    asio::awaitable<http_response> handle(http_request request) {
        std::string const id(request["Request-Id"]);
        bool const is_other_instance = request["Target-Instance"] != this->instance;
        {
            std::lock_guard const guard(this->mutex);
            this->requests.push_back(request);
            this->arrivals.push_back(std::chrono::steady_clock::now());
        }
        unsigned int status = is_other_instance ? 421 : 200;
        std::string const path(request.target());
        if (!is_other_instance && path.starts_with("/front/")) {
            status = co_await this->call(request) ? 200 : 500;
        }
        auto answer = make_response(status, "answer to " + id);
        answer.set("Request-Id", id);
        answer.set("Server-Seal", "seal-of-" + this->instance);
        std::lock_guard const guard(this->mutex);
        if (!this->statement.first.empty()) {
            answer.set(this->statement.first, this->statement.second);
        }
        co_return answer;
    }

    asio::awaitable<bool> call(http_request const& cause) {
        asio::ip::tcp::socket socket(this->service.context());
        co_await socket.async_connect({asio::ip::make_address(this->ip), caller_listener_port},
                                      asio::use_awaitable);
        http_request request(http::verb::get, "/back/x", 11);
        request.set(http::field::host, "shop.example");
        request.set("Request-Id", std::string(cause["Request-Id"]) + ".1");
        request.set("Deadline-Ms", std::string(cause["Deadline-Ms"]));
        co_await http::async_write(socket, request, asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        http_response response;
        co_await http::async_read(socket, buffer, response, asio::use_awaitable);
        co_return response.result_int() == 200;
    }

    std::string ip;
    std::string instance;
    std::mutex mutex;
    std::vector<http_request> requests;
    std::vector<std::chrono::steady_clock::time_point> arrivals;
    std::pair<std::string, std::string> statement;
    http_service service;
};

/// Two hosts, "front" and "back", and their registry.
class platform_pair {
public:
    platform_pair()
        : registry(this->address(9), registry_listener_port), front(this->address(1), "i-front"),
          back(this->address(2), "i-back") {
        std::filesystem::create_directories(this->folder);
        this->registry.put("op/config", configuration(3));
        this->register_target("front", 1);
        this->register_target("back", 2);
        this->start("front", 1);
        this->start("back", 2);
    }
    ~platform_pair() {
        for (auto const process : this->processes) {
            if (process > 0) {
                ::kill(process, SIGKILL);
                ::waitpid(process, nullptr, 0);
            }
        }
        std::error_code ignored;
        if (std::getenv("CARAWAY_KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(this->folder, ignored);
        }
    }

    std::string address(int number) const { return this->addresses.text() + ".77." + std::to_string(number); }

    bool wait_ready() {
        return wait_until(
            [this] {
                return this->ready(1) && this->ready(2) &&
                       this->send_request(1, "GET", "/front/probe", "k1").status == 200;
            },
            std::chrono::seconds(20));
    }
    bool ready(int number) {
        return fetch(this->address(number), readiness_listener_port, "GET", "/any/path").status == 200;
    }

    client_answer send_request(int number, std::string const& method, std::string const& path,
                               std::string const& key, header_map headers = {}) {
        headers["Host"] = "shop.example";
        headers["Request-Id"] = "r" + std::to_string(++this->request_count);
        headers["Deadline-Ms"] = "3000";
        headers["Caller-Service"] = "forged";
        if (!key.empty()) {
            headers["Key"] = key;
        }
        return fetch(this->address(number), caller_listener_port, method, path, headers);
    }

    void register_target(std::string const& service, int number, std::string const& instance = "") {
        auto const id = instance.empty() ? "i-" + service : instance;
        this->registry.put("servers/" + id, R"({"service":")" + service + R"(","address":")" +
                                                this->address(number) + ":" +
                                                std::to_string(target_listener_port) +
                                                R"(","zone":"north","slots":5,"state":"ready","seq":1})");
    }
    void send_signal(int number, int signal_number) {
        ::kill(this->processes.at(static_cast<std::size_t>(number - 1)), signal_number);
    }
    bool wait_exit(int number) {
        auto& process = this->processes.at(static_cast<std::size_t>(number - 1));
        bool const ended = wait_until([&] { return ::waitpid(process, nullptr, WNOHANG) == process; },
                                      std::chrono::seconds(10));
        // The system may reuse the process id from now on.
        process = ended ? 0 : process;
        return ended;
    }

    /// Kills the node and starts it again beside its target, which keeps running.
    void restart(int number, std::string const& service) {
        this->send_signal(number, SIGKILL);
        REQUIRE(this->wait_exit(number));
        this->processes.at(static_cast<std::size_t>(number - 1)) =
            start_node(this->folder + "/" + service + ".toml", this->folder + "/" + service + ".log");
    }

private:
    void start(std::string const& service, int number) {
        auto const ip = this->address(number);
        auto const path = this->folder + "/" + service + ".toml";
        auto const at = [&ip](std::uint16_t port) { return "\"" + ip + ":" + std::to_string(port) + "\"\n"; };
        std::ofstream file(path);
        file << "[node]\nhost = \"" << ip << "\"\nfailure_domain = \"north\"\nservice = \"" << service
             << "\"\n[addresses]\ncallers = " << at(caller_listener_port)
             << "readiness = " << at(readiness_listener_port) << "link = " << at(link_listener_port)
             << "operators = " << at(operator_listener_port) << "target = " << at(target_listener_port)
             << "[platform]\ninterface = \"registry\"\nurl = \"http://" << this->address(9) << ":"
             << registry_listener_port
             << "\"\nparameters = \"quota-window-s=5,quota-overage=0.25,quota-slack=20\"\n"
             << "[link]\nfleet_secret = \"a-secret-shared-by-the-fleet\"\n[limits]\ndrain_ms = 3000\n"
             << "[control]\ncall_context = \"deadline\"\n";
        file.close();
        this->processes.push_back(start_node(path, this->folder + "/" + service + ".log"));
    }

public:
    /// `prefix`: of the route to the service "back".
    static std::string configuration(int version, std::string const& prefix = "/back/") {
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[
            {"name":"front","host":"shop.example","prefix":"/front/","kind":"safe","timeout-ms":2500,"service":"front",
             "max-attempts":2,"priority":1},
            {"name":"pay","host":"shop.example","prefix":"/pay/","kind":"unsafe","timeout-ms":2500,"service":"back",
             "max-attempts":2,"priority":0},
            {"name":"back","host":"shop.example","prefix":")" +
               prefix + R"(","kind":"safe","service":"back","max-attempts":2,
             "public":true}],
            "services":[{"name":"front"},{"name":"back"}],
            "tenants":[{"name":"org","api-keys":["k1"],"rate-per-s":500,"burst":500}]})";
    }

private:
    loopback_prefix addresses;
    std::string folder{
        std::filesystem::temp_directory_path() /
        ("caraway-pair-" + std::to_string(::getpid()) + "-" + std::to_string(random_number() % 100'000))};
    int request_count{0};
    std::vector<pid_t> processes;

public:
    registry_standin registry;
    sealing_target front;
    sealing_target back;
};

} // namespace

// Two test programs drew the same block at times, and the later one ended because its address was in use.
TEST_CASE("blocks of loopback addresses are never used twice at the same time") {
    std::set<std::string> blocks;
    std::vector<std::unique_ptr<standins::loopback_prefix>> claims;
    for (std::size_t count = 1; count <= 100; ++count) {
        claims.push_back(std::make_unique<standins::loopback_prefix>());
        blocks.insert(claims.back()->text());
        REQUIRE(blocks.size() == count);
    }
}

TEST_CASE("a request and the nested call of its target pass through two nodes on the users' platform") {
    platform_pair pair;
    REQUIRE(pair.wait_ready());
    // The request enters at the host of "back" and runs at "front", whose target calls "back".
    auto const answer = pair.send_request(2, "GET", "/front/a?b=c", "k1");
    CHECK(answer.status == 200);
    CHECK(answer.header("Server-Seal") == "seal-of-i-front");
    CHECK(answer.body == "answer to " + answer.header("Request-Id"));
    auto const request = pair.front.received_requests().back();
    CHECK(request.target() == "/front/a?b=c");
    CHECK(request["Host"] == "shop.example");
    CHECK(request["Tenant"] == "org");
    CHECK(request["Caller-Service"] == "back");
    CHECK(request["Target-Instance"] == "i-front");
    CHECK(request.count("Key") == 0);
    auto const call = pair.back.received_requests().back();
    CHECK(call.target() == "/back/x");
    CHECK(call["Caller-Service"] == "front");
    CHECK(call.count("Tenant") == 0);
}

TEST_CASE("users' platform: no valid key gets 401, no known route 404, and a POST reaches the target once") {
    platform_pair pair;
    REQUIRE(pair.wait_ready());
    CHECK(pair.send_request(1, "GET", "/front/a", "").status == 401);
    CHECK(pair.send_request(1, "GET", "/front/a", "wrong").status == 401);
    CHECK(pair.send_request(1, "GET", "/nowhere/a", "k1").status == 404);
    auto const before = pair.back.received_requests().size();
    CHECK(pair.send_request(1, "POST", "/pay/1", "k1").status == 200);
    CHECK(pair.back.received_requests().size() == before + 1);
    CHECK(pair.back.received_requests().back()["Tenant"] == "org");
}

TEST_CASE("a new instance of a target at the same address is distinguished by its registry entry") {
    platform_pair pair;
    REQUIRE(pair.wait_ready());
    pair.registry.remove("servers/i-back");
    pair.register_target("back", 2, "i-newer");
    // The stand-in still answers as i-back, so nothing that is addressed to i-newer runs, and the caller gets
    // status 503.
    CHECK(wait_until([&] { return pair.send_request(1, "POST", "/pay/2", "k1").status == 503; },
                     std::chrono::seconds(5)));
    pair.registry.remove("servers/i-newer");
    pair.register_target("back", 2);
    CHECK(wait_until([&] { return pair.send_request(1, "POST", "/pay/3", "k1").status == 200; },
                     std::chrono::seconds(5)));
}

TEST_CASE("SIGHUP leaves a node running; after SIGTERM it becomes unready and exits in time") {
    platform_pair pair;
    REQUIRE(pair.wait_ready());
    pair.send_signal(2, SIGHUP);
    CHECK(pair.send_request(2, "GET", "/front/a", "k1").status == 200);
    pair.send_signal(2, SIGTERM);
    CHECK(wait_until([&] { return !pair.ready(2); }, std::chrono::seconds(2)));
    CHECK(pair.wait_exit(2));
}

// A target in need named a limit, and was sent as much as before; the process beside it forgot the limit when
// it restarted.
TEST_CASE("a target that states a limit gets no more than that from all nodes, also after a restart") {
    constexpr double limit = 5;
    constexpr std::chrono::milliseconds window{4000};
    constexpr std::size_t allowed = 35; // 1.5 times the limit, and 5 requests.
    platform_pair pair;
    REQUIRE(pair.wait_ready());
    pair.back.set_statement("Server-Limit", std::to_string(limit));
    REQUIRE(pair.send_request(1, "GET", "/back/x", "").status == 200);
    int refused = 0;
    auto const send_for = [&pair, &refused](std::chrono::milliseconds span) {
        auto const end = std::chrono::steady_clock::now() + span;
        for (int count = 0; count < 2000 && std::chrono::steady_clock::now() < end; ++count) {
            auto const answer = pair.send_request(1 + count % 2, "GET", "/back/x", "");
            refused += answer.status == 503 && std::stod("0" + answer.header("Retry-After")) > 0 ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    };
    send_for(std::chrono::milliseconds(4000));
    pair.restart(2, "back");
    send_for(std::chrono::milliseconds(5000));
    CHECK(pair.back.most_in_window(window) <= allowed);
    CHECK(pair.back.arrival_count() > 10);
    CHECK(refused > 0);
}

// The registry still lists the target as ready: only the target's answers say that it is leaving.
TEST_CASE("a target that states that it is leaving gets no request more, also after a restart") {
    platform_pair pair;
    REQUIRE(pair.wait_ready());
    pair.back.set_statement("Server-Leaving", "1");
    REQUIRE(pair.send_request(1, "GET", "/back/x", "").status == 200);
    auto const arrived = pair.back.arrival_count();
    CHECK(pair.send_request(1, "GET", "/back/x", "").status == 503);
    CHECK(pair.send_request(2, "POST", "/pay/1", "k1").status == 503);
    pair.restart(2, "back");
    REQUIRE(wait_until([&] { return pair.ready(2); }, std::chrono::seconds(10)));
    for (int count = 0; count < 20; ++count) {
        CHECK(pair.send_request(1, "GET", "/back/x", "").status == 503);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CHECK(pair.back.arrival_count() == arrived);
}

// The registry came back from a copy and gave revisions out again, and no node took a configuration any more.
TEST_CASE("a configuration that follows a restore of the registry is in force at every node") {
    platform_pair pair;
    REQUIRE(pair.wait_ready());
    auto const serves = [&pair](std::string const& path) {
        return pair.send_request(1, "GET", path, "").status == 200 &&
               pair.send_request(2, "GET", path, "").status == 200;
    };
    pair.registry.take_copy();
    pair.registry.put("op/config", platform_pair::configuration(5, "/second/"));
    pair.registry.put("op/config", platform_pair::configuration(6, "/third/"));
    REQUIRE(wait_until([&] { return serves("/third/x"); }, std::chrono::seconds(5)));
    pair.registry.restore();
    // The copy holds version 3. What is in force stays so until the operator has written again.
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < end) {
        CHECK(serves("/third/x"));
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    pair.registry.put("op/config", platform_pair::configuration(8, "/fourth/"));
    CHECK(wait_until([&] { return serves("/fourth/x"); }, std::chrono::seconds(4)));
    CHECK_FALSE(serves("/third/x"));
}
