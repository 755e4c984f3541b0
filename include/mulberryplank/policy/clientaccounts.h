#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"
#include "mulberryplank/base/name.h"

namespace mulberryplank
{

// How many requests an account may run over the whole fleet: in any window, `perSecond` times its length and `burst`
// more.
struct AccountLimit {
    double perSecond = 0; // 0: no limit
    double burst = 0; // in requests

    // Returns true if the account may run any number of requests.
    constexpr bool isUnlimited() const
    {
        return perSecond <= 0;
    }

    // Returns how many requests may come at once. Callers don't send at even intervals, so that a smaller number than
    // those of a second would refuse requests of accounts that stay within their limit.
    constexpr double atOnce() const
    {
        return std::max({ burst, perSecond, 1.0 });
    }

    bool operator==(const AccountLimit &) const = default;
};

// A client account that calls through the gateways, as the configuration describes it.
struct ClientAccount {
    AccountName name;
    // Of its requests, in place of their routes' priority; 0 is the highest. Empty: they have their routes' priority.
    std::optional<std::uint32_t> priority {};
    AccountLimit limit {};

    bool operator==(const ClientAccount &) const = default;
};

// The client accounts of one version of the configuration, by their keys. Stores digests instead of keys, so that no
// dump of this process contains a key. Thread-compatible.
class ClientAccounts
{
public:
    // Adds an account. A key is its holder's only proof of identity, so two accounts can't share one. Must be called
    // before seal(). Errors: none; conflicts are found by seal().
    void add(ClientAccount account, const std::vector<std::string_view> &keys);

    // Must be called once, after the last account was added. Errors: BadConfiguration if two accounts have the same
    // name or share a key. The error names the accounts, never the key.
    Result<void> seal();

    // Returns the account that holds `key`, or nullptr. O(log n) in the number of keys. The result is valid as long as
    // this object.
    const ClientAccount *find(std::string_view key) const;

    // Returns the account of that name, or nullptr. O(log n) in the number of accounts.
    const ClientAccount *findNamed(const AccountName &name) const;

    const std::vector<ClientAccount> &all() const;

private:
    // The first half of the key's SHA-256 digest. It is as hard to find a key for 128 bits as for the whole digest in
    // practice, and half the size matters with hundreds of thousands of accounts.
    using KeyDigest = std::array<std::uint8_t, 16>;

    struct Key {
        KeyDigest digest {};
        std::uint32_t account = 0; // index into m_accounts
    };

    static KeyDigest digestOfKey(std::string_view key);
    void sortAccounts();

    std::vector<ClientAccount> m_accounts; // sorted by name once sealed
    std::vector<Key> m_keys; // sorted by digest once sealed
};

} // namespace mulberryplank
