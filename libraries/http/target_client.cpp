#include "http/target_client.hpp"

#include "base/clock.hpp"
#include "http/header_rules.hpp"
#include "http/idle_socket.hpp"
#include "http/message_bodies.hpp"
#include "http/response_reader.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <optional>
#include <unordered_set>
#include <utility>

namespace caraway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Used if the target states no limit. Shorter than targets commonly allow, so that the target seldom closes
/// a connection that is just being reused.
constexpr duration default_idle_limit{2000};
/// Fraction of the target's idle limit within which a connection is reused. It is smaller for non-idempotent
/// requests, which can't be retried if the target closes the connection at the same moment.
constexpr double idempotent_reuse_fraction = 0.8;
constexpr double non_idempotent_reuse_fraction = 0.5;
/// The target is on this host; if a connect takes longer, the target accepts no connections.
constexpr duration connect_timeout{1000};
/// Deadlines are told to the target in whole milliseconds.
constexpr duration shortest_time_left{1};
/// Answers to earlier requests that are skipped before the connection is given up.
constexpr int max_stray_answers = 4;
constexpr std::size_t max_idle_connections = 4096;
/// A connection with more refusals is not reused.
constexpr std::size_t max_refused_ids = 64;
/// Most bytes that a connection holds unparsed, unless the limit of the header is larger. The parser limits
/// the header and the body, but neither the line before a chunk nor the trailer, which it needs whole.
constexpr std::size_t min_read_buffer_bytes = 65'536;
/// With fewer calls in progress, a request opens a connection at once: none is likely to become free in time.
constexpr std::size_t min_calls_to_wait = 4;
/// An answer of which so much has arrived is charged while it arrives, and read in larger pieces.
constexpr std::size_t long_answer_bytes = 65'536;
constexpr std::size_t long_answer_read_bytes = 16'384;
/// How often an answer for which there is no memory is tried again.
constexpr auto memory_retry_interval = std::chrono::milliseconds(20);
/// How long an answer keeps its slot while there is no memory for it; longer than callers may stop reading
/// before they give up memory.
constexpr duration longest_memory_wait{2500};

/// Whether the field is there several times, with different values. An empty name stands for no field.
bool is_contradictory(http::fields const& header, std::string const& name) {
    if (name.empty()) {
        return false;
    }
    auto const fields = header.equal_range(name);
    return std::any_of(fields.first, fields.second,
                       [&fields](auto const& field) { return field.value() != fields.first->value(); });
}

} // namespace

class target_connection {
public:
    target_connection(asio::io_context& context, target_client_settings const& options)
        : stream(context), buffer(std::max(min_read_buffer_bytes, options.max_header)) {}

    /// Whether the target refused an earlier attempt of the request here. It may write that refusal once
    /// more, and nothing tells it from the answer to a later attempt.
    bool has_refused(std::string const& request_id) const {
        return std::ranges::find(this->refused_ids, request_id) != this->refused_ids.end();
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::vector<std::string> refused_ids; ///< Of the requests that the target did not run.
    time_point idle_since;
    duration idle_limit{default_idle_limit};
};

/// One request to the target, from its start until its answer is delivered.
class target_call : public std::enable_shared_from_this<target_call> {
public:
    target_call(target_client& owner, target_request&& new_request)
        : client(owner), request(std::move(new_request)),
          reader({.header = owner.options.max_header, .body = owner.options.max_body}),
          wait_timer(owner.context), answer_charge(owner.options.memory, held_for::answers) {}

    void start() {
        if (!this->has_time_left()) {
            return this->finish_too_late();
        }
        if (this->try_reuse()) {
            return;
        }
        if (!this->client.expects_free_connection()) {
            return this->connect();
        }
        this->is_waiting = true;
        this->client.waiting_calls.push_back(this->weak_from_this());
        auto const longest = this->client.options.max_connection_wait;
        this->wait_timer.expires_after(
            std::chrono::microseconds(static_cast<std::int64_t>(longest.milliseconds * 1000)));
        this->wait_timer.async_wait([self = this->shared_from_this()](boost::system::error_code) {
            if (std::exchange(self->is_waiting, false)) {
                self->client.request_turn_end();
                self->connect();
            }
        });
    }

    /// Starts a call that waits if there is an idle connection, or ends it if its time is used up. False when
    /// it still waits.
    bool resume() {
        if (!this->is_waiting) {
            return true;
        }
        bool const is_too_late = !this->has_time_left();
        if (!is_too_late && !this->try_reuse()) {
            return false;
        }
        this->is_waiting = false;
        this->wait_timer.cancel();
        if (is_too_late) {
            this->finish_too_late();
        }
        return true;
    }

    /// Writes the request to the connection that it has opened, unless nobody waits for it any more.
    void write_first() {
        if (this->was_cancelled || !this->has_time_left()) {
            this->client.keep_for_reuse(std::move(this->connection));
            return this->was_cancelled ? this->finish(outcome::not_run, result_code::cancelled)
                                       : this->finish_too_late();
        }
        this->set_timeout(this->answer_time_left());
        this->write();
    }

    /// Ends a call that was cancelled before it began.
    void finish_unstarted() { this->finish(outcome::not_run, result_code::cancelled); }

    void cancel() {
        if (this->was_written && !this->request.idempotent) {
            return;
        }
        this->was_cancelled = true;
        if (std::exchange(this->is_waiting, false)) {
            this->wait_timer.cancel();
            return this->finish(outcome::not_run, result_code::cancelled);
        }
        if (this->connection != nullptr) {
            this->connection->stream.cancel();
        }
    }

private:
    bool try_reuse() {
        this->connection = this->client.acquire_idle(this->request.idempotent, this->request.request_id);
        if (this->connection == nullptr) {
            return false;
        }
        this->set_timeout(this->answer_time_left());
        this->write();
        return true;
    }

    void connect() {
        if (!this->has_time_left()) {
            return this->finish_too_late();
        }
        this->connection = std::make_unique<target_connection>(this->client.context, this->client.options);
        this->set_timeout(std::min(this->answer_time_left(), connect_timeout));
        this->connection->stream.async_connect(
            this->client.target_endpoint(),
            [self = this->shared_from_this()](boost::system::error_code error) {
                if (error) {
                    auto const code =
                        self->was_cancelled ? result_code::cancelled : result_code::target_unreachable;
                    return self->finish(outcome::not_run, code);
                }
                boost::system::error_code ignored;
                self->connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
                self->client.connected_calls.push_back(self);
                self->client.request_turn_end();
            });
    }

    /// Whether the target can still be told a time limit.
    bool has_time_left() const { return this->time_left() >= shortest_time_left; }

    duration time_left() const { return this->request.deadline - monotonic_clock::now(); }

    duration answer_time_left() const { return this->time_left() + this->request.answer_grace; }

    void finish_too_late() { this->finish(outcome::not_run, result_code::deadline_passed); }

    void set_timeout(duration limit) {
        this->connection->stream.expires_after(
            std::chrono::microseconds(static_cast<std::int64_t>(limit.milliseconds * 1000)));
    }

    void set_dialect_headers(http::request<shared_body>& message) const {
        if (this->request.is_health_check) {
            return;
        }
        auto const& dialect = this->client.options.dialect;
        auto const set = [&message](std::string const& name, std::string const& value) {
            if (!name.empty() && !value.empty()) {
                message.set(name, value);
            }
        };
        set(dialect.request_id, this->request.request_id);
        auto const left = std::max(this->time_left(), shortest_time_left);
        set(dialect.deadline, std::to_string(std::llround(std::floor(left.milliseconds))));
        set(dialect.organisation, this->request.organisation);
        set(dialect.calling_service, this->request.calling_service);
        set(dialect.instance, this->request.instance);
        if (dialect.has_extension_headers) {
            set(std::string(header::context), this->request.context_token);
            set(std::string(header::traceparent), this->request.traceparent);
            set(std::string(header::idempotency_key), this->request.idempotency_key);
        }
    }

    void write() {
        http::request<shared_body> message;
        message.version(11);
        message.method_string(this->request.method);
        message.target(this->request.path);
        bool const keeps =
            this->client.options.dialect.forwards_authority && !this->request.authority.empty();
        message.set(http::field::host,
                    keeps ? this->request.authority
                          : this->client.options.address + ":" + std::to_string(this->client.options.port));
        for (auto const& field : this->request.headers) {
            message.insert(field.name, field.value);
        }
        this->set_dialect_headers(message);
        message.body() = std::move(this->request.body);
        message.prepare_payload();
        this->outgoing = std::move(message);
        this->was_written = true;
        http::async_write(
            this->connection->stream, this->outgoing,
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t sent) {
                if (error && sent == 0 && !self->was_cancelled) {
                    return self->finish(outcome::not_run, result_code::target_unreachable);
                }
                if (error) {
                    return self->fail_after_send(error);
                }
                self->read();
            });
    }

    void read() {
        this->reader.start(this->outgoing.method() == http::verb::head);
        this->read_more();
    }

    void read_more() {
        if (this->was_cancelled) {
            return this->finish(outcome::unknown, result_code::cancelled);
        }
        if (!this->charge_answer()) {
            return this->wait_for_memory();
        }
        this->memory_wanted_since.reset();
        http::async_read_some(
            this->connection->stream, this->connection->buffer, this->reader.parser(),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                if (error) {
                    return self->fail_after_send(error);
                }
                if (!self->reader.finish_read()) {
                    return self->read_more();
                }
                self->on_response();
            });
    }

    /// Draws what the answer takes so far and may take with the next read.
    bool charge_answer() {
        auto const size = this->reader.received().size();
        if (size < long_answer_bytes) {
            return true;
        }
        this->connection->buffer.reserve(long_answer_read_bytes);
        return this->answer_charge.try_resize(size + long_answer_bytes);
    }

    /// Leaves the rest of the answer with the target until others have given up memory.
    void wait_for_memory() {
        auto const now = monotonic_clock::now();
        this->memory_wanted_since = this->memory_wanted_since.value_or(now);
        if (this->answer_time_left() <= duration{0}) {
            return this->fail_after_send(boost::beast::error::timeout);
        }
        if (now - *this->memory_wanted_since >= longest_memory_wait) {
            return this->finish(outcome::ran, result_code::answer_dropped);
        }
        this->wait_timer.expires_after(memory_retry_interval);
        this->wait_timer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code) { self->read_more(); });
    }

    void fail_after_send(boost::system::error_code error) {
        if (this->was_cancelled) {
            return this->finish(outcome::unknown, result_code::cancelled);
        }
        if (error == boost::beast::error::timeout) {
            return this->finish(outcome::unknown, result_code::deadline_passed);
        }
        if (error == http::error::body_limit) {
            return this->finish(outcome::ran, result_code::answer_dropped);
        }
        bool const connection_lost =
            error == http::error::end_of_stream || error == http::error::partial_message ||
            error.category() == boost::system::system_category() || error == asio::error::eof;
        if (!connection_lost) {
            return this->finish(outcome::unknown, result_code::target_malformed);
        }
        this->probe_target();
    }

    /// After a lost answer, checks whether a process still listens at the target's address. If so, the new
    /// connection is kept for the next request.
    void probe_target() {
        this->connection = std::make_unique<target_connection>(this->client.context, this->client.options);
        this->set_timeout(connect_timeout);
        this->connection->stream.async_connect(
            this->client.target_endpoint(),
            [self = this->shared_from_this()](boost::system::error_code error) {
                bool const refused = error == asio::error::connection_refused;
                if (!error) {
                    boost::system::error_code ignored;
                    self->connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
                    self->client.keep_for_reuse(std::move(self->connection));
                }
                self->deliver({.id = self->request.id,
                               .result = outcome::unknown,
                               .code = result_code::target_crashed,
                               .refuses_connections = refused});
            });
    }

    void on_response() {
        auto response = this->reader.release();
        auto const& dialect = this->client.options.dialect;
        bool const is_ambiguous =
            this->request.is_health_check
                ? is_contradictory(response, dialect.answering_instance)
                : is_contradictory(response, dialect.integrity) ||
                      (dialect.checks_request_id && is_contradictory(response, dialect.request_id));
        if (is_ambiguous) {
            return this->finish(outcome::unknown, result_code::target_malformed);
        }
        if (this->request.is_health_check) {
            return this->on_health_response(response);
        }
        if (dialect.checks_request_id && response[dialect.request_id] != this->request.request_id) {
            return this->skip_stray_answer(response);
        }
        auto const status = static_cast<std::uint16_t>(response.result_int());
        bool const states_not_run = !dialect.not_run.empty() && response.count(dialect.not_run) > 0;
        bool const is_other_instance =
            !dialect.instance.empty() &&
            status == static_cast<std::uint16_t>(http::status::misdirected_request);
        bool const lacks_integrity =
            !dialect.integrity.empty() && response.count(dialect.integrity) == 0 && !states_not_run;
        // The caller would take such a status as "not run", which the target has not stated.
        bool const is_unconfirmed_not_run =
            dialect.means_not_run(status) && !states_not_run && !is_other_instance;
        if (states_not_run || is_other_instance) {
            this->connection->refused_ids.push_back(this->request.request_id);
        }
        bool const is_reusable = response.keep_alive() && !this->was_cancelled &&
                                 this->connection->buffer.size() == 0 && this->stray_answers == 0 &&
                                 this->connection->refused_ids.size() <= max_refused_ids;
        if (is_reusable) {
            this->connection->idle_limit = idle_limit_from(response);
            this->client.keep_for_reuse(std::move(this->connection));
        }
        if (is_other_instance) {
            return this->finish(outcome::not_run, result_code::target_replaced);
        }
        auto const statement = read_target_statement(dialect, response);
        if (states_not_run) {
            return this->deliver({.id = this->request.id,
                                  .result = outcome::not_run,
                                  .code = result_code::target_refused,
                                  .statement = statement});
        }
        if (lacks_integrity || is_unconfirmed_not_run) {
            return this->finish(outcome::unknown, result_code::target_malformed);
        }
        target_answer answer{.id = this->request.id,
                             .result = outcome::ran,
                             .code = result_code::ok,
                             .status = status,
                             .statement = statement};
        for (auto const& field : response) {
            std::string_view const name(field.name_string().data(), field.name_string().size());
            if (!dialect.is_stripped(name)) {
                answer.headers.push_back({std::string(name), std::string(field.value())});
            }
        }
        if (dialect.checks_request_id) {
            answer.headers.push_back({dialect.request_id, this->request.request_id});
        }
        if (!this->answer_charge.try_resize(response.body().held())) {
            return this->finish(outcome::ran, result_code::answer_dropped);
        }
        answer.body = response.body().finish(std::move(this->answer_charge));
        this->deliver(std::move(answer));
    }

    /// A target that is full or failing may state how long it is cold as well. One that is well and states
    /// nothing is warm.
    void on_health_response(strict_response_parser::response_type const& response) {
        auto const& dialect = this->client.options.dialect;
        auto const instance = response[dialect.answering_instance.empty() ? "-" : dialect.answering_instance];
        bool const is_wanted = dialect.answering_instance.empty() || this->request.instance.empty() ||
                               instance == this->request.instance;
        // What names another instance or none may be a late answer, with that to the check still to come.
        if (is_wanted && response.keep_alive() && !this->was_cancelled &&
            this->connection->buffer.size() == 0) {
            this->connection->idle_limit = idle_limit_from(response);
            this->client.keep_for_reuse(std::move(this->connection));
        }
        if (!is_wanted) {
            return this->finish(outcome::ran, result_code::target_replaced);
        }
        auto statement = read_target_statement(dialect, response);
        bool const states_warm = response.result() == http::status::ok && !dialect.target_cold.empty() &&
                                 response.count(dialect.target_cold) == 0;
        if (states_warm) {
            statement.cold_ms = 0;
        }
        this->deliver({.id = this->request.id,
                       .result = outcome::ran,
                       .code = result_code::ok,
                       .status = static_cast<std::uint16_t>(response.result_int()),
                       .statement = statement});
    }

    /// Skips a late answer to an earlier request on this connection; this request's answer may still follow.
    void skip_stray_answer(strict_response_parser::response_type const& stray) {
        bool const names_another = stray.count(this->client.options.dialect.request_id) > 0;
        if (!names_another || !stray.keep_alive() || ++this->stray_answers > max_stray_answers) {
            return this->finish(outcome::unknown, result_code::target_malformed);
        }
        this->read();
    }

    /// Returns how long the target keeps an idle connection, as stated in its Keep-Alive field.
    static duration idle_limit_from(strict_response_parser::response_type const& response) {
        constexpr std::string_view parameter = "timeout=";
        auto const value = response[http::field::keep_alive];
        std::string_view const text(value.data(), value.size());
        auto const position = text.find(parameter);
        unsigned int seconds = 0;
        if (position != std::string_view::npos) {
            std::from_chars(text.data() + position + parameter.size(), text.data() + text.size(), seconds);
        }
        return seconds == 0 ? default_idle_limit : duration{seconds * 1000.0};
    }

    void finish(outcome result, result_code code) {
        this->deliver({.id = this->request.id, .result = result, .code = code});
    }

    void deliver(target_answer&& answer) {
        this->client.calls.erase(this->request.id);
        this->client.sink(std::move(answer));
    }

    target_client& client;
    target_request request;
    std::unique_ptr<target_connection> connection;
    http::request<shared_body> outgoing;
    response_reader reader;
    asio::steady_timer wait_timer;
    memory_charge answer_charge; ///< For the answer that is being read.
    std::optional<time_point> memory_wanted_since;
    bool is_waiting{false};  ///< For a connection that another call uses.
    bool was_written{false}; ///< The target may have got it.
    bool was_cancelled{false};
    int stray_answers{0}; ///< Skipped answers to other requests.
};

target_client::target_client(target_client_settings initial_options,
                             std::function<void(target_answer&&)> answer_sink, event_loop_handle used_loop)
    : options(std::move(initial_options)), sink(std::move(answer_sink)), loop(std::move(used_loop)),
      context(this->loop.context()), commands(options.max_requests) {
    this->commands.set_wake_callback([this] {
        if (this->context.get_executor().running_in_this_thread()) {
            return this->request_turn_end();
        }
        asio::post(this->context, [this] { this->request_turn_end(); });
    });
}

target_client::~target_client() {
    this->loop.stop();
}

void target_client::start() {
    this->loop.start();
}

bool target_client::send(target_request&& request) {
    return this->commands.try_push({.is_cancel = false, .request = std::move(request)});
}

void target_client::cancel(std::uint64_t id) {
    command cancellation{.is_cancel = true};
    cancellation.request.id = id;
    if (!this->commands.try_push(std::move(cancellation))) {
        // There is at most one cancellation for each request.
        asio::post(this->context, [this, id] {
            this->overflow_cancels.push_back(id);
            this->request_turn_end();
        });
    }
}

void target_client::cancel_call(std::uint64_t id) {
    auto const found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    if (auto const call = found->second.lock()) {
        call->cancel();
    }
}

asio::ip::tcp::endpoint target_client::target_endpoint() const {
    return {asio::ip::make_address(this->options.address), this->options.port};
}

void target_client::request_turn_end() {
    if (!std::exchange(this->turn_end_requested, true)) {
        this->loop.thread().run_at_turn_end(turn_stage::send, [this] { this->run_turn_end(); });
    }
}

void target_client::run_turn_end() {
    this->turn_end_requested = false;
    std::vector<target_request> requests;
    std::unordered_set<std::uint64_t> cancelled;
    this->commands.drain([&](command&& next) {
        if (!next.is_cancel) {
            return requests.push_back(std::move(next.request));
        }
        cancelled.insert(next.request.id);
        this->cancel_call(next.request.id);
    });
    for (auto const id : std::exchange(this->overflow_cancels, {})) {
        cancelled.insert(id);
        this->cancel_call(id);
    }
    for (auto const& call : std::exchange(this->connected_calls, {})) {
        call->write_first();
    }
    this->start_waiting_calls();
    for (auto& request : requests) {
        bool const is_cancelled = cancelled.contains(request.id);
        this->start_call(std::move(request), is_cancelled);
    }
}

void target_client::start_call(target_request&& request, bool is_cancelled) {
    auto const id = request.id;
    auto const call = std::make_shared<target_call>(*this, std::move(request));
    this->calls[id] = call;
    is_cancelled ? call->finish_unstarted() : call->start();
}

std::unique_ptr<target_connection> target_client::acquire_idle(bool idempotent,
                                                               std::string const& request_id) {
    auto const now = monotonic_clock::now();
    for (auto position = this->idle_connections.size(); position > 0; --position) {
        auto const found = this->idle_connections.begin() + static_cast<std::ptrdiff_t>(position - 1);
        auto const age = now - (*found)->idle_since;
        bool const is_sound = age < (*found)->idle_limit * idempotent_reuse_fraction;
        if (is_sound && !idempotent && age >= (*found)->idle_limit * non_idempotent_reuse_fraction) {
            return nullptr; // Idempotent requests may still use it.
        }
        if (is_sound && (*found)->has_refused(request_id)) {
            continue;
        }
        auto connection = std::move(*found);
        this->idle_connections.erase(found);
        if (is_sound && is_idle_socket(connection->stream.socket())) {
            return connection;
        }
    }
    return nullptr;
}

void target_client::keep_for_reuse(std::unique_ptr<target_connection> connection) {
    connection->stream.expires_never();
    connection->idle_since = monotonic_clock::now();
    if (this->idle_connections.size() < max_idle_connections) {
        this->idle_connections.push_back(std::move(connection));
    }
    if (!this->waiting_calls.empty()) {
        this->request_turn_end();
    }
}

bool target_client::expects_free_connection() const {
    bool const may_wait = this->options.max_connection_wait.milliseconds > 0;
    std::size_t const in_use =
        this->calls.size() - std::min(this->calls.size(), this->waiting_calls.size() + 1);
    return may_wait && in_use >= min_calls_to_wait && this->waiting_calls.size() < in_use;
}

void target_client::start_waiting_calls() {
    while (!this->waiting_calls.empty()) {
        auto const next = this->waiting_calls.front().lock();
        if (next != nullptr && !next->resume()) {
            return;
        }
        this->waiting_calls.pop_front();
    }
}

} // namespace caraway
