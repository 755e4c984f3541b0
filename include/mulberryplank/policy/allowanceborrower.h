#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// One request for a part of an account's allowance.
struct AllowanceRequest {
    std::uint64_t number = 0;
    std::size_t lender = 0; // which of the lenders to ask
};

// The borrower's side of loans of one account's allowance: asks the processes that have a part of it one after the
// other, until enough is borrowed or all have been asked. One at a time, because what is borrowed and not used is lost
// to the account. A response counts once, and only if it arrives soon after its request. Thread-compatible.
class AllowanceBorrower
{
public:
    // Returns the request to send now to one of `lenders` processes. Returns nothing while another one awaits its
    // response, and for a while after no lender had anything.
    std::optional<AllowanceRequest> next(std::size_t lenders, Instant now);

    // Returns true if the response to the last request may still arrive.
    bool awaitsResponse(Instant now) const;

    // Accepts the response to request `number`. Returns the time until which the loan may be used, or nothing if the
    // response doesn't count or nothing was lent.
    std::optional<Instant> accept(std::uint64_t number, double amount, Instant now);

private:
    void beginRound(Instant now);

    std::uint64_t m_lastNumber = 0; // of the last request
    std::optional<Instant> m_requestedAt; // while a response is awaited
    Instant m_roundStart {};
    std::size_t m_firstLender = 0; // of the round
    std::size_t m_asked = 0; // in this round
    bool m_hasBorrowed = false; // in this round
    int m_emptyRounds = 0; // in a row
    Instant m_nextRound {};
};

} // namespace mulberryplank
