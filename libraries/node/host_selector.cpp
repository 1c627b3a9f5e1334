#include "node/host_selector.hpp"

#include "base/digest.hpp"

#include <algorithm>

namespace caraway {

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
        candidates.push_back({this->context.options.host, true, report.in_flight, report.limit, {0}});
    }
    std::erase_if(candidates, [this](candidate_host const& candidate) {
        return this->context.targets.is_leaving(this->target_of(candidate.host));
    });
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

std::optional<std::string> host_selector::choose(selection_request const& request, time_point now) {
    return this->context.chooser.choose(this->candidates_for(request, now), request.idempotent,
                                        random_number(), now);
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
