/// A TCP proxy that injects faults into the connections that it forwards; test code only.
#pragma once

#include <boost/asio.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace caraway::standins {

/// The fault that is applied to a connection.
enum class link_fault : std::uint8_t {
    none,
    cut,    ///< Open connections are reset, new ones are refused.
    silent, ///< Bytes are discarded in both directions and nothing is closed. New connections work.
    stall,  ///< Bytes are held back until the fault ends, also on new connections.
};

/// Forwards TCP connections from one address to another. Faults are selected by the IP address of the client.
class fault_proxy {
public:
    fault_proxy(std::string listen_address, std::uint16_t listen_port, std::string target_address,
                std::uint16_t target_port);
    ~fault_proxy();
    fault_proxy(fault_proxy const&) = delete;
    fault_proxy& operator=(fault_proxy const&) = delete;

    /// Applies a fault to the connections from every source IP address for which `applies_to` returns true;
    /// thread-safe.
    void set_fault(link_fault fault, std::function<bool(std::string const& source)> applies_to);
    void clear();
    /// Delays every chunk, in each direction.
    void set_delay_ms(double milliseconds) { this->delay_ms = milliseconds; }
    /// Discards what the server sends back, so that requests arrive but their responses are lost.
    void set_drop_responses(bool dropped) { this->drop_responses = dropped; }

private:
    struct proxied_connection;

    void accept();
    boost::asio::awaitable<void> connect(std::shared_ptr<proxied_connection> connection);
    boost::asio::awaitable<void> pump(std::shared_ptr<proxied_connection> connection, bool forward);
    link_fault fault_for(proxied_connection const& connection);

    std::string target_ip;
    std::uint16_t target_port;
    boost::asio::io_context io{1};
    boost::asio::ip::tcp::acceptor acceptor{io};
    std::set<std::shared_ptr<proxied_connection>> connections;
    std::atomic<double> delay_ms{0};
    std::atomic<bool> drop_responses{false};
    std::mutex mutex;
    link_fault fault{link_fault::none};
    std::function<bool(std::string const&)> applies_to;
    std::uint64_t faults_set{0};
    std::thread worker;
};

} // namespace caraway::standins
