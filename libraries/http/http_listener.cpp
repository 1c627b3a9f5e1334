#include "http/http_listener.hpp"

#include "http/http_session.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace caraway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// The answer queue holds two answers for each connection and this many more, for callers that have
/// disconnected.
constexpr std::size_t spare_answer_slots = 64;
/// Interval of the check for timed-out connections, as a fraction of the idle timeout.
constexpr double sweep_interval_fraction = 0.125;
constexpr double max_sweep_interval_ms = 1000;
constexpr auto accept_pause = std::chrono::milliseconds(10);

bool lacks_descriptors(boost::system::error_code error) {
    return error == asio::error::no_descriptors ||
           error == boost::system::errc::too_many_files_open_in_system ||
           error == asio::error::no_buffer_space || error == asio::error::no_memory;
}

} // namespace

http_listener::http_listener(listener_settings initial_options, listener_events handlers,
                             event_loop_handle used_loop)
    : options(std::move(initial_options)), events(std::move(handlers)), loop(std::move(used_loop)),
      context(this->loop.context()), acceptor(this->context), sweep_timer(this->context),
      accept_timer(this->context), answers(2 * options.max_connections + spare_answer_slots) {
    this->answers.set_wake_callback(
        [this] { asio::post(this->context, [this] { this->deliver_queued(); }); });
    if (this->options.memory != nullptr) {
        this->options.memory->add_reclaimer(
            held_for::requests,
            [this](memory_budget::claimant const& wanting) { return this->refuse_arriving(wanting); });
        this->options.memory->add_reclaimer(
            held_for::answers, [this](memory_budget::claimant const&) { return this->abandon_unread(); });
    }
}

http_listener::~http_listener() {
    this->loop.stop();
}

result<void> http_listener::open() {
    boost::system::error_code error;
    tcp::endpoint const local_endpoint(asio::ip::make_address(this->options.address), this->options.port);
    this->acceptor.open(local_endpoint.protocol(), error);
    if (!error) {
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(local_endpoint, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return fail({result_code::io_failed, "The address " + this->options.address + ":" +
                                                 std::to_string(this->options.port) +
                                                 " can't be opened: " + error.message() + "."});
    }
    this->accept();
    this->schedule_sweep();
    this->loop.start();
    return {};
}

void http_listener::accept() {
    this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !this->acceptor.is_open()) {
            return;
        }
        if (lacks_descriptors(error)) {
            this->free_place();
            return this->accept_later();
        }
        if (!error) {
            this->on_accepted(std::move(socket));
        }
        this->accept();
    });
}

void http_listener::accept_later() {
    this->accept_timer.expires_after(accept_pause);
    this->accept_timer.async_wait([this](boost::system::error_code error) {
        if (!error && this->acceptor.is_open()) {
            this->accept();
        }
    });
}

void http_listener::on_accepted(tcp::socket&& socket) {
    bool const is_full = *this->open_connections >= this->options.max_connections;
    if (is_full && !this->free_place()) {
        return;
    }
    auto const session = std::make_shared<http_session>(*this, std::move(socket));
    this->sessions.push_back(session);
    session->read();
}

bool http_listener::free_place() {
    auto const now = monotonic_clock::now();
    std::shared_ptr<http_session> found;
    auto found_use = http_session::place_use::in_use;
    for (auto const& entry : this->sessions) {
        auto const session = entry.lock();
        if (session == nullptr || !session->is_open()) {
            continue;
        }
        auto const use = session->use_of_place(now);
        bool const is_better = use < found_use || (use == found_use && found != nullptr &&
                                                   session->last_progress() < found->last_progress());
        if (is_better) {
            found = session;
            found_use = use;
        }
    }
    if (found == nullptr) {
        return false;
    }
    ++this->displaced_connections;
    found->close();
    return true;
}

bool http_listener::refuse_arriving(memory_budget::claimant const& wanting) {
    auto const now = monotonic_clock::now();
    std::shared_ptr<http_session> slowest;
    std::shared_ptr<http_session> largest;
    for (auto const& entry : this->sessions) {
        auto const session = entry.lock();
        if (session == nullptr || session.get() == wanting.owner || session->arriving_bytes() == 0) {
            continue;
        }
        bool const is_slowest = session->arrives_too_slowly(now) &&
                                (slowest == nullptr || session->last_progress() < slowest->last_progress());
        slowest = is_slowest ? session : slowest;
        bool const is_largest = largest == nullptr || session->arriving_bytes() > largest->arriving_bytes();
        largest = is_largest ? session : largest;
    }
    if (slowest != nullptr) {
        slowest->refuse_arriving();
        return true;
    }
    // A caller with little to send is not refused for one with much.
    bool const may_displace = wanting.holding <= small_holding_bytes && largest != nullptr &&
                              largest->arriving_bytes() > small_holding_bytes;
    if (may_displace) {
        largest->refuse_arriving();
    }
    return may_displace;
}

bool http_listener::abandon_unread() {
    auto const now = monotonic_clock::now();
    std::shared_ptr<http_session> slowest;
    for (auto const& entry : this->sessions) {
        auto const session = entry.lock();
        bool const is_slowest = session != nullptr && session->is_open() &&
                                session->is_read_too_slowly(now) &&
                                (slowest == nullptr || session->last_progress() < slowest->last_progress());
        slowest = is_slowest ? session : slowest;
    }
    if (slowest == nullptr) {
        return false;
    }
    slowest->abandon_answers();
    return true;
}

void http_listener::schedule_sweep() {
    auto const shortest_ms = std::min(this->options.idle_timeout_ms, this->options.header_timeout_ms);
    auto const interval_ms = std::min(max_sweep_interval_ms, shortest_ms * sweep_interval_fraction);
    this->sweep_timer.expires_after(
        std::chrono::milliseconds(std::max<std::int64_t>(1, std::llround(interval_ms))));
    this->sweep_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            this->sweep();
            this->schedule_sweep();
        }
    });
}

void http_listener::sweep() {
    auto const now = monotonic_clock::now();
    for (auto const& entry : this->sessions) {
        if (auto const session = entry.lock()) {
            session->close_if_timed_out(now);
        }
    }
    std::erase_if(this->sessions, [](auto const& session) { return session.expired(); });
}

void http_listener::enqueue_answer(listener_answer&& value) {
    if (this->answers.try_push(std::move(value))) {
        return;
    }
    // A failed push leaves the answer unchanged (bounded_queue), which the linter can't know.
    // NOLINTBEGIN(bugprone-use-after-move)
    if (this->context.get_executor().running_in_this_thread()) {
        // On a shared loop, this thread has filled the queue within one handler. No other thread drains the
        // queue, so it is drained here, and this answer follows; none is lost.
        this->deliver_queued();
        return this->deliver_to_session(std::move(value));
    }
    // The queue holds two answers for each connection and is full. Another thread must not block until the
    // loop has drained it, so the answer is posted to the loop instead.
    asio::post(this->context, [this, deferred = std::make_shared<listener_answer>(std::move(value))] {
        this->deliver_to_session(std::move(*deferred));
    });
    // NOLINTEND(bugprone-use-after-move)
}

void http_listener::deliver_queued() {
    this->answers.drain([this](listener_answer&& value) { this->deliver_to_session(std::move(value)); });
}

void http_listener::deliver_to_session(listener_answer&& value) {
    auto const found = this->sessions_by_request.find(value.id);
    if (found == this->sessions_by_request.end()) {
        return;
    }
    auto const session = std::move(found->second);
    this->sessions_by_request.erase(found);
    session->accept_answer(std::move(value));
}

void http_listener::drain() {
    asio::post(this->context, [this] { this->draining = true; });
}

void http_listener::close_idle() {
    asio::post(this->context, [this] {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        for (auto const& entry : this->sessions) {
            if (auto const session = entry.lock()) {
                session->close_if_idle();
            }
        }
    });
}

} // namespace caraway
