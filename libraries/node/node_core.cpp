#include "node/node_core.hpp"

#include "node/status_report.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr duration gossip_interval{250};
constexpr duration rights_interval{10};
constexpr duration peers_interval{50};
constexpr duration cleaning_interval{5000};
/// Hosts told at once when a revision comes into force or a target died.
constexpr std::size_t news_fanout = 4;
constexpr std::size_t platform_readers = 3;
constexpr std::size_t max_told_suspects = 64;

template <typename... Handlers>
struct overloaded_handlers : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded_handlers(Handlers...) -> overloaded_handlers<Handlers...>;

std::vector<listed_host> seeds_of(settings const& options) {
    std::vector<listed_host> hosts;
    for (auto const& seed : options.peers) {
        hosts.push_back({seed.host, seed.failure_domain, seed.service, seed.link, false});
    }
    return hosts;
}

} // namespace

node_core::node_core(settings wanted, platform_traits traits, std::uint64_t incarnation, rights_timing limits,
                     time_point started)
    : context(std::move(wanted), incarnation, limits, started), local(context, started),
      origin(context, local), spread(context.out, started, traits.is_current), tolerance(traits.rates),
      last_now(started) {
    this->context.report = [this] { return this->own_report(this->last_now); };
    // Seeds make links possible before any list was read; rights wait for the list itself.
    this->hosts = seeds_of(this->context.options);
    this->context.peers.update_hosts(this->hosts, started);
}

host_report node_core::own_report(time_point now) {
    return {.incarnation = this->context.incarnation,
            .ticket_window = this->local.ticket_window(now),
            .in_flight = static_cast<std::uint32_t>(this->local.in_flight() + this->local.queued()),
            .limit = static_cast<std::uint32_t>(this->local.limit()),
            .leaving =
                this->context.phase == node_phase::draining || this->context.phase == node_phase::stopped,
            .serving = this->context.phase == node_phase::serving && this->context.configuration != nullptr};
}

void node_core::handle(core_event&& event, time_point now) {
    this->last_now = now;
    std::visit(overloaded_handlers{
                   [&](door_request& request) { this->origin.on_request(std::move(request), now); },
                   [&](hang_up_event& gone) { this->origin.on_hang_up(gone.side, gone.id, now); },
                   [&](target_answer& answer) {
                       bool const died = answer.code == result_code::target_crashed;
                       this->local.on_target(std::move(answer), now);
                       this->tells_suspects = this->tells_suspects || died;
                   },
                   [&](link_event& link) { this->on_link(std::move(link), now); },
                   [&](platform_event& served) {
                       this->spread.on_platform_document(served.document, std::move(served.content), now);
                   },
                   [&](compiled_event& compiled) { this->on_compiled(std::move(compiled), now); },
                   [&](phase_event& phase) { this->on_phase(phase.phase, now); },
               },
               event);
    this->flush(now);
}

void node_core::on_link(link_event&& event, time_point now) {
    switch (event.kind) {
    case link_event_kind::opened:
        if (this->context.peers.on_opened(event, now)) {
            this->context.out.messages.push_back(
                {event.connection, gossip_message{.report = this->own_report(now),
                                                  .documents = this->spread.versions(),
                                                  .wants_answer = true}});
        }
        return;
    case link_event_kind::closed:
        this->context.peers.on_closed(event.connection);
        return this->origin.on_connection_lost(event.connection, now);
    case link_event_kind::refused:
        this->context.numbers.add("links_refused");
        this->context.out.log(
            log_level::warn, "link_refused",
            {{"claimed_host", event.peer.host}, {"code", std::string(describe(event.code).name)}});
        return;
    case link_event_kind::received:
        this->on_message({event.peer.host, event.connection, std::move(event.content)}, now);
        return;
    }
}

void node_core::on_message(addressed_message&& received, time_point now) {
    auto const& from = received.from;
    this->context.peers.on_message_received(from, received.connection, now);
    std::visit(
        overloaded_handlers{
            [&](forward_message& request) {
                this->local.receive(from, received.connection, std::move(request), now);
            },
            [&](answer_message& answer) { this->origin.on_answer(from, std::move(answer), now); },
            [&](cancel_message& wish) { this->local.cancel(from, wish.call_id, now); },
            [&](ping_message& ping) {
                this->context.peers.on_ping(from, received.connection, ping, this->own_report(now), now);
            },
            [&](pong_message& pong) { this->context.peers.on_pong(from, received.connection, pong, now); },
            [&](gossip_message&) { this->on_gossip(received, now); },
            [&](fetch_message& fetch) { this->spread.on_fetch(from, fetch); },
            [&](values_message& values) { this->spread.on_values(from, values, now); },
            [&](want_tokens_message& want) { this->context.rights.receive(from, want, now); },
            [&](grant_message& grant) { this->context.rights.receive(from, grant, now); },
            [&](count_me_message& ask) { this->context.rights.receive(from, ask, now); },
            [&](counted_message& counted) { this->context.rights.receive(from, counted, now); },
            [&](auto&) { this->context.numbers.add("messages_unexpected"); },
        },
        received.content);
}

void node_core::on_gossip(addressed_message const& received, time_point now) {
    auto const& gossip = std::get<gossip_message>(received.content);
    this->context.peers.on_report(received.from, gossip.report, now);
    this->spread.on_gossip(received.from, gossip, now);
    for (auto const& told : gossip.suspects) {
        bool const news = this->context.suspects.learn(told.fingerprint, told.deaths, {told.age_ms}, now);
        this->tells_suspects = this->tells_suspects || news;
    }
    if (gossip.wants_answer) {
        this->send_gossip(received.from, false, now);
    }
}

void node_core::on_compiled(compiled_event&& event, time_point now) {
    bool const accepted = event.refusal.empty();
    this->spread.on_compiled(event.document, event.revision, accepted);
    if (!accepted) {
        this->context.numbers.add("documents_refused");
        this->context.out.log(log_level::error, "document_refused",
                              {{"revision", std::to_string(event.revision)}, {"reason", event.refusal}});
        return;
    }
    if (this->spread.revision(event.document) != event.revision) {
        return;
    }
    if (event.configuration != nullptr) {
        this->use_configuration(std::move(event.configuration), now);
    }
    if (event.hosts != nullptr) {
        this->use_hosts(*event.hosts, now);
    }
}

void node_core::use_configuration(configuration_pointer configuration, time_point now) {
    this->context.configuration = std::move(configuration);
    this->configure_rights(now);
    this->local.on_configuration();
    this->context.out.log(log_level::info, "configuration_in_force",
                          {{"revision", std::to_string(this->context.configuration->revision())}});
}

double node_core::domain_weight() const {
    auto const& domains = this->context.configuration->failure_domains();
    auto const& name = this->context.options.failure_domain;
    if (!domains.empty()) {
        auto const own = domains.find(name);
        return own == domains.end() ? 0 : own->second.usable_weight;
    }
    auto const in_domain = std::ranges::count(this->hosts, name, &listed_host::failure_domain);
    return this->hosts.empty() ? 0 : static_cast<double>(in_domain) / static_cast<double>(this->hosts.size());
}

void node_core::configure_rights(time_point now) {
    if (this->context.configuration == nullptr) {
        return;
    }
    double const weight = this->domain_weight();
    std::unordered_map<std::string, rate_terms> terms;
    std::unordered_map<std::string, rate_division> divisions;
    for (auto const& [name, entry] : this->context.configuration->organisations()) {
        if (!entry.is_limited()) {
            continue;
        }
        auto const division = divide_rate(entry.rate, entry.burst, this->hosts.size(), this->tolerance);
        terms[name] = {entry.rate * weight * division.lent_part, entry.burst * weight * division.lent_part};
        divisions[name] = division;
    }
    this->context.local_rates.configure(divisions, now);
    this->context.rights.configure(std::move(terms), now);
}

void node_core::use_hosts(host_list const& list, time_point now) {
    this->hosts = merge_host_list(this->hosts, list);
    this->context.peers.update_hosts(this->hosts, now);
    domain_hosts listed;
    for (auto const& entry : this->hosts) {
        listed[entry.failure_domain].insert(entry.host);
    }
    this->context.rights.update_hosts(std::move(listed), now);
    this->context.chooser.keep_only(this->context.peers.listed_hosts());
    auto const own = std::ranges::find(this->hosts, this->context.options.host, &listed_host::host);
    bool const is_listed = own != this->hosts.end();
    this->context.own_instance = is_listed ? own->instance : "";
    // A list that names others but not this host says that its target has left without a word.
    this->context.target_is_leaving = is_listed ? own->leaving : !this->hosts.empty();
    this->local.set_listed_slots(is_listed ? own->slots : 0);
    this->configure_rights(now);
    this->context.out.log(
        log_level::info, "host_list_in_force",
        {{"revision", std::to_string(list.revision)}, {"hosts", std::to_string(this->hosts.size())}});
}

void node_core::on_phase(node_phase phase, time_point now) {
    this->context.phase = phase;
    if (phase != node_phase::draining) {
        return;
    }
    this->context.draining_since = now;
    this->local.drain(now);
    this->context.rights.leave(now);
    for (auto const& host : this->context.peers.connected_hosts()) {
        this->send_gossip(host, false, now);
    }
}

void node_core::send_gossip(std::string const& host, bool wants_answer, time_point now) {
    gossip_message content{
        .report = this->own_report(now), .documents = this->spread.versions(), .wants_answer = wants_answer};
    for (auto const& entry : this->context.suspects.suspects(now)) {
        if (content.suspects.size() < max_told_suspects) {
            content.suspects.push_back({entry.fingerprint, entry.deaths, (now - entry.since).milliseconds});
        }
    }
    this->context.deliver(host, std::move(content), now);
}

void node_core::gossip(time_point now) {
    auto const open = this->context.peers.connected_hosts();
    if (open.empty()) {
        return;
    }
    bool const urgent = this->spread.consume_change_flag() || std::exchange(this->tells_suspects, false);
    if (now < this->next_gossip && !urgent) {
        return;
    }
    this->next_gossip = now + gossip_interval;
    auto const count =
        urgent ? std::max(news_fanout, std::min<std::size_t>(open.size(), news_fanout * 4)) : 1;
    for (std::size_t index = 0; index < std::min(count, open.size()); ++index) {
        this->send_gossip(open[this->gossip_turn++ % open.size()], !urgent, now);
    }
}

void node_core::flush(time_point now) {
    // Each round may add letters and messages to this host itself, until nothing is left.
    bool busy = true;
    while (busy) {
        busy = false;
        for (auto& letter : this->context.rights.take_letters()) {
            busy = true;
            std::visit([&](auto& content) { this->context.deliver(letter.to, std::move(content), now); },
                       letter.content);
        }
        for (auto& letter : this->spread.take_outgoing_messages()) {
            busy = true;
            this->context.deliver(letter.to, std::move(letter.content), now);
        }
        while (!this->context.local.empty()) {
            busy = true;
            auto received = std::move(this->context.local.front());
            this->context.local.pop_front();
            this->on_message(std::move(received), now);
        }
        if (!this->context.rights.take_supplied().empty()) {
            busy = true;
            this->origin.admit_supplied(now);
        }
    }
}

void node_core::tick(time_point now) {
    this->last_now = now;
    this->local.tick(now);
    this->origin.tick(now);
    this->spread.run_periodic_tasks(now);
    if (now >= this->next_rights) {
        this->next_rights = now + rights_interval;
        this->context.rights.tick(now, this->origin.waiting_for_rate());
    }
    if (now >= this->next_peers) {
        this->next_peers = now + peers_interval;
        for (auto const connection : this->context.peers.maintain_links(this->own_report(now), now)) {
            this->context.numbers.add("links_silent");
            this->origin.on_connection_lost(connection, now);
        }
    }
    if (now >= this->next_cleaning) {
        this->next_cleaning = now + cleaning_interval;
        this->context.admissions.forget_old(now);
        this->context.suspects.forget_old(now);
        this->origin.clean(now);
    }
    this->gossip(now);
    this->flush(now);
}

effects node_core::take_effects() {
    return std::exchange(this->context.out, {});
}

bool node_core::reads_platform() const {
    std::vector<std::string> names;
    for (auto const& entry : this->hosts) {
        if (entry.failure_domain == this->context.options.failure_domain) {
            names.push_back(entry.host);
        }
    }
    auto const readers = rendezvous_top(names, "platform", platform_readers);
    bool const listed = std::ranges::find(readers, this->context.options.host) != readers.end();
    // A node that knows no list yet, or no live reader, has to look for itself.
    bool const someone_reads = std::ranges::any_of(readers, [this](std::string const& name) {
        return name != this->context.options.host && this->context.peers.is_connected(name);
    });
    return listed || !someone_reads || this->context.configuration == nullptr;
}

bool node_core::is_idle() const {
    return this->origin.live() == 0 && this->local.live() == 0;
}

bool node_core::is_ready() const {
    return this->context.configuration != nullptr && this->spread.revision(document_kind::hosts) > 0;
}

std::shared_ptr<node_status> node_core::status(bool with_texts, time_point now) {
    auto made = std::make_shared<node_status>();
    made->phase = this->context.phase;
    made->documents_ready = this->is_ready();
    made->ready = made->documents_ready && this->context.phase == node_phase::serving;
    made->reads_platform = this->reads_platform();
    made->configuration_revision = this->spread.revision(document_kind::configuration);
    if (!with_texts) {
        return made;
    }
    auto& numbers = this->context.numbers;
    numbers.set("configuration_revision", static_cast<double>(made->configuration_revision));
    numbers.set("hosts_revision", static_cast<double>(this->spread.revision(document_kind::hosts)));
    numbers.set("target_in_flight", static_cast<double>(this->local.in_flight()));
    numbers.set("target_queue", static_cast<double>(this->local.queued()));
    numbers.set("target_limit", static_cast<double>(this->local.limit()));
    numbers.set("links_open", static_cast<double>(this->context.peers.connected_hosts().size()));
    numbers.set("requests_live", static_cast<double>(this->origin.live()));
    made->metrics_text = numbers.to_prometheus();
    made->status_json = status_to_json({.context = this->context,
                                        .local = this->local,
                                        .replicator = this->spread,
                                        .ready = made->ready,
                                        .reads_platform = made->reads_platform},
                                       now);
    return made;
}

} // namespace caraway
