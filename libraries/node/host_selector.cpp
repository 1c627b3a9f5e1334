#include "node/host_selector.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace caraway {

namespace {

constexpr double permille = 1000;

} // namespace

std::vector<candidate_host> host_selector::candidates_for(selection_request const& request,
                                                          time_point now) const {
    auto const is_evacuated = [this, &request](std::string const& domain) {
        return this->context.evacuations.contains(domain) ||
               std::ranges::find(request.refusing_domains, domain) != request.refusing_domains.end();
    };
    auto candidates =
        this->context.peers.candidates(request.service, now, [&is_evacuated](peer_info const& peer) {
            return is_evacuated(peer.entry.failure_domain);
        });
    bool const own =
        request.service == this->context.options.service && this->context.phase == node_phase::serving &&
        !this->local_executor.target_is_leaving() && !is_evacuated(this->context.options.failure_domain);
    if (own) {
        auto const report = this->context.make_own_report();
        candidates.push_back({.host = this->context.options.host,
                              .same_domain = true,
                              .reported_in_flight = report.in_flight,
                              .limit = report.limit,
                              .reported_wait = {static_cast<double>(report.expected_wait_ms)},
                              .request_time = {static_cast<double>(report.target_request_ms)},
                              .work_time_percent = static_cast<double>(report.target_work_time_percent),
                              .failure_fraction = report.target_failure_permille / permille});
    }
    std::erase_if(candidates, [this](candidate_host const& candidate) {
        return this->context.targets.is_leaving(this->target_of(candidate.host));
    });
    auto const is_the_passer = [&request](candidate_host const& candidate) {
        return candidate.host == request.passed_on_by;
    };
    if (!request.passed_on_by.empty() && !std::ranges::all_of(candidates, is_the_passer)) {
        std::erase_if(candidates, is_the_passer);
    }
    auto const is_unlimited = [this, now](candidate_host const& candidate) {
        return !this->context.targets.accepted_rate(this->target_of(candidate.host), now);
    };
    // After such a refusal the next attempt may be the last, so it goes to a target that has stated no limit.
    bool const needs_unlimited =
        request.was_refused_for_limit && std::ranges::any_of(candidates, is_unlimited);
    for (auto& candidate : candidates) {
        candidate.has_room = needs_unlimited
                                 ? is_unlimited(candidate)
                                 : this->context.targets.has_room(this->target_of(candidate.host), now);
    }
    return candidates;
}

std::optional<placement> host_selector::choose(selection_request const& request, time_point now) {
    auto const candidates = this->candidates_for(request, now);
    if (this->context.places_by_wait()) {
        return this->context.chooser.place(candidates, request.idempotent, random_number(), now);
    }
    auto const host = this->context.chooser.choose(candidates, request.idempotent, random_number(), now);
    return host ? std::optional(placement{.host = *host}) : std::nullopt;
}

bool host_selector::is_answered_within(selection_request const& request, duration left,
                                       time_point now) const {
    if (!this->context.places_by_wait()) {
        return true;
    }
    return std::ranges::any_of(this->candidates_for(request, now), [left](candidate_host const& candidate) {
        return candidate.reported_wait + candidate.request_time < left;
    });
}

bool host_selector::has_target_with_room(selection_request const& request, time_point now) const {
    return std::ranges::any_of(this->candidates_for(request, now), &candidate_host::has_room);
}

std::string const& host_selector::domain_of(std::string const& host) const {
    if (host == this->context.options.host) {
        return this->context.options.failure_domain;
    }
    static std::string const unknown;
    auto const* peer = this->context.peers.find(host);
    return peer == nullptr ? unknown : peer->entry.failure_domain;
}

target_id host_selector::target_of(std::string const& host) const {
    return this->context.listed_target_of(host);
}

std::string host_selector::instance_of(std::string const& host) const {
    if (host == this->context.options.host) {
        return this->context.own_target_instance;
    }
    auto const* peer = this->context.peers.find(host);
    return peer == nullptr ? "" : peer->entry.instance;
}

} // namespace caraway
