#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>

#include "mulberryplank/base/name.h"

namespace mulberryplank
{

// Counts the caller connections of each account in this process, so that one account can't use all of them.
// Thread-safe. Sharded by account because every connection is counted here.
class AccountConnections
{
public:
    AccountConnections() = default;
    AccountConnections(const AccountConnections &) = delete;
    AccountConnections &operator=(const AccountConnections &) = delete;

    // Adds a connection of `account`. Returns false and adds nothing if the account already has `maxCount` connections.
    bool tryAdd(const AccountName &account, std::size_t maxCount)
    {
        Shard &shard = shardOf(account);
        const std::lock_guard lock(shard.mutex);
        std::size_t &count = shard.counts[account];
        if (count >= maxCount) {
            return false;
        }
        ++count;
        return true;
    }

    // Removes a connection. Must be called once for each tryAdd() that returned true.
    void remove(const AccountName &account)
    {
        Shard &shard = shardOf(account);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.counts.find(account);
        if (found != shard.counts.end() && --found->second == 0) {
            shard.counts.erase(found);
        }
    }

    // Returns the number of connections of `account`.
    std::size_t count(const AccountName &account) const
    {
        const Shard &shard = m_shards[std::hash<AccountName> {}(account) % ShardCount];
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.counts.find(account);
        return found == shard.counts.end() ? 0 : found->second;
    }

private:
    static constexpr std::size_t ShardCount = 16;
    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<AccountName, std::size_t> counts;
    };

    Shard &shardOf(const AccountName &account)
    {
        return m_shards[std::hash<AccountName> {}(account) % ShardCount];
    }

    std::array<Shard, ShardCount> m_shards;
};

} // namespace mulberryplank
