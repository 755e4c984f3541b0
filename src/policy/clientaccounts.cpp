#include "mulberryplank/policy/clientaccounts.h"

#include <algorithm>
#include <numeric>

#include "mulberryplank/policy/calleridentity.h"

namespace mulberryplank
{

void ClientAccounts::add(ClientAccount account, const std::vector<std::string_view> &keys)
{
    const auto index = static_cast<std::uint32_t>(m_accounts.size());
    m_accounts.push_back(std::move(account));
    for (const std::string_view key : keys) {
        m_keys.push_back({ digestOfKey(key), index });
    }
}

Result<void> ClientAccounts::seal()
{
    sortAccounts();
    const auto repeated =
        std::adjacent_find(m_accounts.begin(), m_accounts.end(), [](const auto &one, const auto &other) {
            return one.name == other.name;
        });
    if (repeated != m_accounts.end()) {
        return failure(ErrorKind::BadConfiguration, "two accounts are named " + repeated->name.value());
    }
    std::sort(m_keys.begin(), m_keys.end(), [](const Key &one, const Key &other) {
        return one.digest < other.digest;
    });
    const auto sharedKey = std::adjacent_find(m_keys.begin(), m_keys.end(), [](const Key &one, const Key &other) {
        return one.digest == other.digest && one.account != other.account;
    });
    if (sharedKey != m_keys.end()) {
        return failure(ErrorKind::BadConfiguration,
                       "accounts " + m_accounts[sharedKey->account].name.value() + " and "
                           + m_accounts[std::next(sharedKey)->account].name.value() + " have a key in common");
    }
    m_keys.shrink_to_fit();
    return {};
}

void ClientAccounts::sortAccounts()
{
    std::vector<std::uint32_t> order(m_accounts.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(), [this](std::uint32_t one, std::uint32_t other) {
        return m_accounts[one].name < m_accounts[other].name;
    });
    std::vector<ClientAccount> sorted;
    sorted.reserve(m_accounts.size());
    std::vector<std::uint32_t> positions(m_accounts.size());
    for (const std::uint32_t index : order) {
        positions[index] = static_cast<std::uint32_t>(sorted.size());
        sorted.push_back(std::move(m_accounts[index]));
    }
    m_accounts = std::move(sorted);
    for (Key &key : m_keys) {
        key.account = positions[key.account];
    }
}

const ClientAccount *ClientAccounts::findNamed(const AccountName &name) const
{
    const auto found = std::lower_bound(
        m_accounts.begin(), m_accounts.end(), name, [](const ClientAccount &account, const AccountName &wanted) {
            return account.name < wanted;
        });
    return found != m_accounts.end() && found->name == name ? &*found : nullptr;
}

const ClientAccount *ClientAccounts::find(std::string_view key) const
{
    const KeyDigest digest = digestOfKey(key);
    const auto found = std::lower_bound(m_keys.begin(), m_keys.end(), digest, [](const Key &one, const auto &other) {
        return one.digest < other;
    });
    const bool isKnown = found != m_keys.end() && found->digest == digest;
    return isKnown ? &m_accounts[found->account] : nullptr;
}

const std::vector<ClientAccount> &ClientAccounts::all() const
{
    return m_accounts;
}

ClientAccounts::KeyDigest ClientAccounts::digestOfKey(std::string_view key)
{
    const SecretDigest whole = digestOf(key);
    KeyDigest digest {};
    std::copy_n(whole.begin(), digest.size(), digest.begin());
    return digest;
}

} // namespace mulberryplank
