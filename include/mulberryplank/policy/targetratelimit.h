#pragma once

#include <cstdint>
#include <optional>

#include "mulberryplank/base/time.h"

namespace mulberryplank
{

// What a target has said about the rate of requests that it takes.
struct RateLimitNotice {
    std::optional<double> perSecond; // from all proxies together; empty: the target has no limit
    // Orders notices: when the response arrived that named a limit, or when the request was sent whose response named
    // none.
    Instant at {};
};

// The part of a target's rate limit that one process may use.
struct RateLimitShare {
    double part = 1; // of the limit, from 0 to 1; not used by processes that aren't holders
    // Holders use the limit. The other processes only send single requests in turns, and only while no process has
    // heard of the limit for a while: the holders may have no requests, so that nobody would learn that it was
    // withdrawn.
    bool isHolder = true;
    Duration turnInterval {}; // between two turns of a process that isn't a holder
    double phase = 0; // when its turns are, as a part of that interval; differs between processes

    friend bool operator==(const RateLimitShare &, const RateLimitShare &) = default;
};

// Paces the requests of this process to one target by the limit that the target has named. In any period it allows no
// more than this process's part of the limit and one request, or half a second's requests if these are more.
// Thread-compatible.
class TargetRateLimit
{
public:
    // Applies a notice, from the target itself or from another process, unless a newer one is known. Returns whether
    // the limit has changed.
    bool apply(const RateLimitNotice &notice, Instant now);

    // Sets the part of the limit that this process may use. A process that becomes a holder starts without unused
    // requests: its predecessor may just have used them.
    void setShare(const RateLimitShare &share, Instant now);

    // Returns whether a request may be sent.
    bool allows(Instant now) const;

    // Records that a request is sent.
    void use(Instant now);

    // Returns whether the other processes should be told again that the limit still holds, and records that they are.
    // Must be called when the target has named its limit to this process.
    bool startRefresh(Instant now);

    // Returns the number of requests per second that the target takes from all proxies together, or nothing if it has
    // no limit.
    std::optional<double> perSecond() const;

private:
    struct Schedule {
        Duration period {};
        std::uint32_t requests = 1; // in each period
    };
    double pacedPerSecond() const; // the limit within the bounds of what can be paced
    Schedule schedule() const;
    void startWithoutRequests(Instant now);
    bool isOwnTurn(Instant now) const;

    RateLimitNotice m_notice;
    Instant m_heardAt {}; // when a limit was last heard of, from the target or another process
    Instant m_refreshedAt {}; // when the other processes were last told of it
    RateLimitShare m_share;
    Instant m_periodStart {};
    std::uint32_t m_used = 0; // requests in this period
};

} // namespace mulberryplank
