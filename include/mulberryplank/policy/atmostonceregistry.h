#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The first part of an Idempotency-Key: the only process that may run the request, and when it issued the token.
struct IdempotencyToken {
    Incarnation incarnation = 0;
    std::uint32_t epoch = 0; // number of AtMostOnceSettings::epoch periods since the process started

    bool operator==(const IdempotencyToken &) const = default;
};

// Returns the token's text, as used in `locate` and 428 responses.
std::string toString(const IdempotencyToken &token);

// An Idempotency-Key header: "TOKEN/CALLERKEY".
struct IdempotencyKey {
    IdempotencyToken token;
    std::string_view callerKey; // 1 to MaxCallerKeyLength characters; points into the parsed text
};

inline constexpr std::size_t MaxCallerKeyLength = 128;

// Returns the key in a header value, or nothing if the value has another form.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view value);

// Returns a fingerprint that distinguishes a repeat from a different request under the same key.
std::uint64_t requestFingerprint(std::string_view method, std::string_view target, std::string_view body);

// A target's complete response, kept for replay.
struct StoredResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    // Returns the memory that the response takes, in bytes.
    std::size_t size() const;
};

enum class AtMostOnceDecisionKind : std::uint8_t {
    Run, // first time: run it, then call finishWithResponse() or finishFailed()
    Replay, // return `response` again
    InProgress, // currently running: RepeatInProgress
    ForwardTo, // process `incarnation` decides; this one must not run it
    Unknown, // no process can determine whether it has run: RepeatUnknown
    KeyReused, // the key belongs to another request: KeyReused
    Full, // no room for another key: RateLimited, not run, retry after `retryAfter`
    KeyRequired, // no key, or one of another form: KeyRequired, with a new token
};

// The sender of a request to this process.
enum class RequestSource : std::uint8_t {
    Caller,
    Peer, // forwarded by another proxy
};

struct AtMostOnceDecision {
    AtMostOnceDecisionKind kind = AtMostOnceDecisionKind::Unknown;
    std::shared_ptr<const StoredResponse> response; // Replay
    Incarnation incarnation = 0; // ForwardTo
    Duration retryAfter {}; // Full
};

struct AtMostOnceSettings {
    Seconds epoch { 60 };
    std::uint32_t epochsValid = 15; // a token can start requests during its epoch and this many more
    std::uint32_t epochsKept = 5; // epochs that a key is kept after its last possible start, for repeats of late runs
    std::size_t maxKeys = 200'000; // in total
    std::size_t maxKeysPerAccount = 10'000;
    std::size_t maxResponseBytes = 65'536; // a larger response isn't kept, only the fact that there was one
    std::size_t maxResponseBytesPerAccount = 8'388'608;
};

// Ensures that a non-idempotent request and its repeats run at most once, without a shared store. A key is bound to one
// process incarnation, and only that process may run it. The process keeps the outcome of a key for longer than the
// token can start a run, so no outcome is forgotten while the request could run again. If memory is full, it rejects
// new keys rather than forgetting old ones. See docs/pages/at-most-once.md for the proof. Thread-compatible.
class AtMostOnceRegistry
{
public:
    // `started` is the start of the process. `isMember` returns whether an incarnation other than this one is a live
    // member.
    AtMostOnceRegistry(Incarnation self,
                       Instant started,
                       AtMostOnceSettings settings,
                       std::function<bool(Incarnation)> isMember);
    AtMostOnceRegistry(const AtMostOnceRegistry &) = delete;
    AtMostOnceRegistry &operator=(const AtMostOnceRegistry &) = delete;
    ~AtMostOnceRegistry();

    // Returns the token for new keys at `now`.
    IdempotencyToken token(Instant now) const;

    // Decides on a request with that Idempotency-Key. After Run, finishWithResponse() or finishFailed() must always be
    // called; until then every repeat gets InProgress. Requests forwarded by a peer are never forwarded again.
    AtMostOnceDecision begin(const AccountName &account,
                             const ServiceName &service,
                             std::string_view key,
                             std::uint64_t fingerprint,
                             Instant now,
                             RequestSource source = RequestSource::Caller);

    // Ends a Run with the target's complete response.
    void finishWithResponse(const AccountName &account, std::string_view key, StoredResponse response);

    // Ends a failed Run: NotRun frees the key for a new run, Unknown blocks it permanently.
    void finishFailed(const AccountName &account, std::string_view key, Outcome outcome);

    // Returns the number of keys held.
    std::size_t size() const;

    // Returns the bytes of responses held for `account`.
    std::size_t responseBytes(const AccountName &account) const;

private:
    enum class EntryState : std::uint8_t {
        Running,
        NotRun,
        Responded,
        Unknown, // also a response that could not be kept
    };
    using AutoUnlink = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;
    using ExpiryHook = boost::intrusive::set_base_hook<AutoUnlink>;
    using ResponseHook = boost::intrusive::list_base_hook<AutoUnlink>;
    struct Entry : ExpiryHook, ResponseHook {
        std::string id;
        AccountName account;
        ServiceName service;
        std::uint64_t fingerprint = 0;
        std::uint64_t sequence = 0; // order of arrival, to break ties
        EntryState state = EntryState::Running;
        std::shared_ptr<const StoredResponse> response;
        Instant forgetAt;

        bool operator<(const Entry &other) const;
    };
    using NonCounting = boost::intrusive::constant_time_size<false>;
    using ByExpiry = boost::intrusive::multiset<Entry, NonCounting>;
    struct AccountUse {
        std::size_t keys = 0;
        std::size_t responseBytes = 0;
        boost::intrusive::list<Entry, NonCounting> withResponse; // oldest first
    };

    Instant startsUntil(const IdempotencyToken &token) const;
    void forgetExpired(Instant now);
    void dropResponse(Entry &entry);
    void makeRoomForResponse(AccountUse &use, std::size_t bytes);
    Entry *find(const AccountName &account, std::string_view key);
    AtMostOnceDecision repeat(Entry &entry, const ServiceName &service, std::uint64_t fingerprint);
    AtMostOnceDecision first(const AccountName &account,
                             const ServiceName &service,
                             std::string_view key,
                             const IdempotencyToken &token,
                             std::uint64_t fingerprint,
                             Instant now);

    Incarnation m_self;
    Instant m_started;
    AtMostOnceSettings m_settings;
    std::function<bool(Incarnation)> m_isMember;
    std::unordered_map<AccountName, AccountUse> m_use;
    ByExpiry m_byExpiry;
    std::unordered_map<std::string, Entry> m_entries; // destroyed first: it unlinks from the containers above
    std::uint64_t m_sequence = 0;
};

} // namespace mulberryplank
