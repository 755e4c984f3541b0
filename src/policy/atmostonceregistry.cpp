#include "mulberryplank/policy/atmostonceregistry.h"

#include <algorithm>
#include <charconv>
#include <tuple>

#include <xxhash.h>

namespace mulberryplank
{

namespace internal
{

constexpr int IncarnationDigits = 16;
constexpr int Base = 16;
constexpr std::size_t MaxForgottenPerCall = 32;

// Parses a hexadecimal number without sign or leading blank and removes it from the front of `text`.
template<typename Number>
bool takeHex(std::string_view &text, Number &value)
{
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, value, Base);
    if (error != std::errc {} || text.starts_with('-')) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed - text.data()));
    return true;
}

template<typename Number>
std::string hex(Number value)
{
    std::string digits(IncarnationDigits, '0');
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, Base);
    static_cast<void>(error);
    digits.resize(static_cast<std::size_t>(end - digits.data()));
    return digits;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f';
    });
}

// Account names contain no line feed and keys are printable, so two different pairs never give the same text.
std::string entryId(const AccountName &account, std::string_view key)
{
    return account.value() + '\n' + std::string(key);
}

AtMostOnceDecision decision(AtMostOnceDecisionKind kind)
{
    AtMostOnceDecision result;
    result.kind = kind;
    return result;
}

} // namespace internal

std::string toString(const IdempotencyToken &token)
{
    const std::string digits = internal::hex(token.incarnation);
    return std::string(internal::IncarnationDigits - digits.size(), '0') + digits + "." + internal::hex(token.epoch);
}

std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view value)
{
    IdempotencyKey key;
    std::string_view rest = value;
    if (!internal::takeHex(rest, key.token.incarnation) || !rest.starts_with('.')) {
        return std::nullopt;
    }
    rest.remove_prefix(1);
    if (!internal::takeHex(rest, key.token.epoch) || !rest.starts_with('/')) {
        return std::nullopt;
    }
    key.callerKey = rest.substr(1);
    const std::string_view token = value.substr(0, value.size() - rest.size());
    const bool lengthFits = !key.callerKey.empty() && key.callerKey.size() <= MaxCallerKeyLength;
    // Only the issued spelling is valid. Two accepted spellings of one key could run twice.
    if (!lengthFits || !internal::isPrintable(key.callerKey) || token != toString(key.token)) {
        return std::nullopt;
    }
    return key;
}

std::uint64_t requestFingerprint(std::string_view method, std::string_view target, std::string_view body)
{
    std::uint64_t print = XXH3_64bits(method.data(), method.size());
    print = XXH3_64bits_withSeed(target.data(), target.size(), print);
    return XXH3_64bits_withSeed(body.data(), body.size(), print);
}

std::size_t StoredResponse::size() const
{
    std::size_t bytes = sizeof(StoredResponse) + body.size();
    for (const auto &[name, value] : headers) {
        bytes += sizeof(headers.front()) + name.size() + value.size();
    }
    return bytes;
}

bool AtMostOnceRegistry::Entry::operator<(const Entry &other) const
{
    return std::tie(forgetAt, sequence) < std::tie(other.forgetAt, other.sequence);
}

AtMostOnceRegistry::AtMostOnceRegistry(Incarnation self,
                                       Instant started,
                                       AtMostOnceSettings settings,
                                       std::function<bool(Incarnation)> isMember)
    : m_self(self)
    , m_started(started)
    , m_settings(settings)
    , m_isMember(std::move(isMember))
{
}

AtMostOnceRegistry::~AtMostOnceRegistry() = default;

IdempotencyToken AtMostOnceRegistry::token(Instant now) const
{
    const auto epochs = (now - m_started) / m_settings.epoch;
    return IdempotencyToken { m_self, static_cast<std::uint32_t>(std::max<decltype(epochs)>(epochs, 0)) };
}

AtMostOnceDecision AtMostOnceRegistry::begin(const AccountName &account,
                                             const ServiceName &service,
                                             std::string_view key,
                                             std::uint64_t fingerprint,
                                             Instant now,
                                             RequestSource source)
{
    const std::optional<IdempotencyKey> parsed = parseIdempotencyKey(key);
    if (!parsed) {
        return internal::decision(AtMostOnceDecisionKind::KeyRequired);
    }
    if (parsed->token.incarnation != m_self) {
        // A peer that forwards here takes this process for the named one. It isn't, so the named process has been
        // replaced. Forwarding again could loop between two views of the membership, or from this process to itself,
        // until the deadline.
        const bool forward = source == RequestSource::Caller && m_isMember(parsed->token.incarnation);
        AtMostOnceDecision result =
            internal::decision(forward ? AtMostOnceDecisionKind::ForwardTo : AtMostOnceDecisionKind::Unknown);
        result.incarnation = parsed->token.incarnation;
        return result;
    }
    if (parsed->token.epoch > token(now).epoch) {
        // Not issued by this process, so no request can have run under it yet.
        return internal::decision(AtMostOnceDecisionKind::KeyRequired);
    }
    forgetExpired(now);
    if (Entry *entry = find(account, key)) {
        return repeat(*entry, service, fingerprint);
    }
    if (now >= startsUntil(parsed->token)) {
        // An entry of that age would have been forgotten, so whether there was one is unknown.
        return internal::decision(AtMostOnceDecisionKind::Unknown);
    }
    return first(account, service, key, parsed->token, fingerprint, now);
}

void AtMostOnceRegistry::finishWithResponse(const AccountName &account, std::string_view key, StoredResponse response)
{
    Entry *entry = find(account, key);
    if (entry == nullptr || entry->state != EntryState::Running) {
        return;
    }
    entry->state = EntryState::Responded;
    const std::size_t bytes = response.size();
    if (bytes > m_settings.maxResponseBytes || bytes > m_settings.maxResponseBytesPerAccount) {
        return;
    }
    AccountUse &use = m_use[account];
    makeRoomForResponse(use, bytes);
    entry->response = std::make_shared<const StoredResponse>(std::move(response));
    use.responseBytes += bytes;
    use.withResponse.push_back(*entry);
}

void AtMostOnceRegistry::finishFailed(const AccountName &account, std::string_view key, Outcome outcome)
{
    Entry *entry = find(account, key);
    if (entry == nullptr || entry->state != EntryState::Running) {
        return;
    }
    entry->state = outcome == Outcome::NotRun ? EntryState::NotRun : EntryState::Unknown;
}

std::size_t AtMostOnceRegistry::size() const
{
    return m_entries.size();
}

std::size_t AtMostOnceRegistry::responseBytes(const AccountName &account) const
{
    const auto found = m_use.find(account);
    return found == m_use.end() ? 0 : found->second.responseBytes;
}

// Returns the time until which a yet unknown key with that token may start a run.
Instant AtMostOnceRegistry::startsUntil(const IdempotencyToken &token) const
{
    const std::int64_t epochs = std::int64_t { token.epoch } + m_settings.epochsValid + 1;
    return m_started + m_settings.epoch * epochs;
}

// Forgets a few entries at a time, so that no request pays for the many that expire together at the end of an epoch.
// Finding an expired entry is harmless. So is forgetting a run that is still in progress, since its token can no longer
// start another run.
void AtMostOnceRegistry::forgetExpired(Instant now)
{
    for (std::size_t left = internal::MaxForgottenPerCall; left > 0 && !m_byExpiry.empty(); --left) {
        Entry &entry = *m_byExpiry.begin();
        if (entry.forgetAt > now) {
            return;
        }
        dropResponse(entry);
        const auto use = m_use.find(entry.account);
        if (--use->second.keys == 0) {
            m_use.erase(use);
        }
        m_entries.erase(m_entries.find(entry.id));
    }
}

void AtMostOnceRegistry::dropResponse(Entry &entry)
{
    if (!entry.response) {
        return;
    }
    m_use[entry.account].responseBytes -= entry.response->size();
    entry.response.reset();
    static_cast<ResponseHook &>(entry).unlink();
}

// The oldest responses make room for newer ones of the same account. Their keys stay, so that a repeat gets Unknown
// rather than running again.
void AtMostOnceRegistry::makeRoomForResponse(AccountUse &use, std::size_t bytes)
{
    while (use.responseBytes + bytes > m_settings.maxResponseBytesPerAccount) {
        dropResponse(use.withResponse.front());
    }
}

AtMostOnceRegistry::Entry *AtMostOnceRegistry::find(const AccountName &account, std::string_view key)
{
    const auto found = m_entries.find(internal::entryId(account, key));
    return found == m_entries.end() ? nullptr : &found->second;
}

AtMostOnceDecision AtMostOnceRegistry::repeat(Entry &entry, const ServiceName &service, std::uint64_t fingerprint)
{
    if (entry.service != service || entry.fingerprint != fingerprint) {
        return internal::decision(AtMostOnceDecisionKind::KeyReused);
    }
    switch (entry.state) {
    case EntryState::Running:
        return internal::decision(AtMostOnceDecisionKind::InProgress);
    case EntryState::NotRun:
        entry.state = EntryState::Running;
        return internal::decision(AtMostOnceDecisionKind::Run);
    case EntryState::Responded:
        if (entry.response) {
            AtMostOnceDecision result = internal::decision(AtMostOnceDecisionKind::Replay);
            result.response = entry.response;
            return result;
        }
        return internal::decision(AtMostOnceDecisionKind::Unknown);
    case EntryState::Unknown:
        return internal::decision(AtMostOnceDecisionKind::Unknown);
    }
    return internal::decision(AtMostOnceDecisionKind::Unknown);
}

AtMostOnceDecision AtMostOnceRegistry::first(const AccountName &account,
                                             const ServiceName &service,
                                             std::string_view key,
                                             const IdempotencyToken &token,
                                             std::uint64_t fingerprint,
                                             Instant now)
{
    const auto use = m_use.find(account);
    const std::size_t keys = use == m_use.end() ? 0 : use->second.keys;
    if (keys >= m_settings.maxKeysPerAccount || m_entries.size() >= m_settings.maxKeys) {
        AtMostOnceDecision result = internal::decision(AtMostOnceDecisionKind::Full);
        const Duration untilFirstExpiry = m_byExpiry.empty() ? Duration::zero() : m_byExpiry.begin()->forgetAt - now;
        result.retryAfter = std::max<Duration>(untilFirstExpiry, Seconds(1));
        return result;
    }
    std::string id = internal::entryId(account, key);
    Entry &entry = m_entries[id];
    entry.id = std::move(id);
    entry.account = account;
    entry.service = service;
    entry.fingerprint = fingerprint;
    entry.sequence = m_sequence++;
    entry.forgetAt = startsUntil(token) + m_settings.epoch * std::int64_t { m_settings.epochsKept };
    m_byExpiry.insert(entry);
    ++m_use[account].keys;
    return internal::decision(AtMostOnceDecisionKind::Run);
}

} // namespace mulberryplank
