#include "policy/rate_pool.hpp"

#include <algorithm>
#include <cassert>

namespace caraway {

void rate_pool::set_terms(double rate, double burst, time_point now) {
    this->advance(now);
    this->rate_per_second = rate;
    this->capacity = to_tokens(burst);
    this->stored = std::clamp<token_amount>(this->capacity - this->lent, 0, this->stored);
}

token_amount rate_pool::lend(loan_id loan, token_amount wanted, time_point now, time_point expires) {
    this->advance(now);
    auto const amount = std::clamp<token_amount>(wanted, 0, this->stored);
    if (amount == 0) {
        return 0;
    }
    auto const expiry = this->expiries.emplace(expires.milliseconds, loan);
    this->loans[loan] = {.amount = amount, .expiry = expiry};
    this->stored -= amount;
    this->lent += amount;
    assert(this->stored >= 0);
    return amount;
}

void rate_pool::settle(loan_use const& use, time_point now) {
    this->advance(now);
    auto const found = this->loans.find(use.loan);
    if (found == this->loans.end()) {
        return;
    }
    auto& loan = found->second;
    auto const returned = std::clamp(use.returned, loan.returned, loan.amount);
    auto const settled = std::clamp(use.spent + returned, loan.settled, loan.amount);
    auto const came_back = std::min(returned - loan.returned, settled - loan.settled);
    this->lent -= settled - loan.settled;
    this->stored = std::clamp<token_amount>(this->capacity - this->lent, 0, this->stored + came_back);
    loan.returned = returned;
    loan.settled = settled;
    if (loan.settled == loan.amount) {
        this->end_loan(found);
    }
}

token_amount rate_pool::level(time_point now) {
    this->advance(now);
    return this->stored;
}

duration rate_pool::wait_for(token_amount wanted, time_point now) {
    auto const missing = wanted - this->level(now);
    if (missing <= 0) {
        return {0};
    }
    double const idle = std::max(0.0, this->minted_until.milliseconds - now.milliseconds);
    if (this->rate_per_second <= 0) {
        return {1e6};
    }
    return {idle + to_requests(missing) / this->rate_per_second * 1000};
}

void rate_pool::advance(time_point now) {
    // Step by step: room that an expiring loan leaves may only be filled by what is minted after it.
    while (!this->expiries.empty() && this->expiries.begin()->first <= now.milliseconds) {
        auto const first = this->expiries.begin();
        this->mint_until({first->first});
        auto const loan = this->loans.find(first->second);
        assert(loan != this->loans.end());
        this->lent -= loan->second.amount - loan->second.settled;
        this->end_loan(loan);
    }
    this->mint_until(now);
}

void rate_pool::mint_until(time_point instant) {
    if (instant <= this->minted_until) {
        return;
    }
    double const minted =
        this->fraction + this->rate_per_second * (instant - this->minted_until).seconds() * 1e6;
    this->minted_until = instant;
    auto const room = std::max<token_amount>(0, this->capacity - this->lent - this->stored);
    if (minted >= static_cast<double>(room)) {
        this->stored += room;
        this->fraction = 0;
        return;
    }
    auto const whole = static_cast<token_amount>(minted);
    this->stored += whole;
    this->fraction = minted - static_cast<double>(whole);
}

void rate_pool::end_loan(std::unordered_map<loan_id, loan_state>::iterator loan) {
    this->expiries.erase(loan->second.expiry);
    this->loans.erase(loan);
}

} // namespace caraway
