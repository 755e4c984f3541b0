#include "mulberryplank/policy/limitholders.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace mulberryplank
{

namespace internal
{

namespace
{

// Must differ from the seeds of other ranks by hash, so that the same processes don't get all roles.
constexpr XXH64_hash_t HolderSeed = 0x61636374;

// A limit with at most this many holders is so small that processes which wrongly believe to be among them exceed it by
// few requests, while its callers need loans from the start.
constexpr std::size_t SmallLimitHolders = 3;

// The part of a share that a process uses while others may not know yet that it has it.
constexpr double UnsettledShare = 0.5;

using Rank = std::pair<XXH64_hash_t, std::string_view>;

Rank rankOf(const AccountName &account, const VmName &vm)
{
    const XXH64_hash_t seed = XXH64(account.value().data(), account.value().size(), HolderSeed);
    return { XXH64(vm.value().data(), vm.value().size(), seed), vm.value() };
}

// Returns the VMs with the `count` lowest ranks.
std::vector<VmName> lowestRanked(const AccountName &account, const std::vector<VmName> &vms, std::size_t count)
{
    std::vector<std::pair<Rank, const VmName *>> ranked;
    ranked.reserve(vms.size());
    for (const VmName &vm : vms) {
        ranked.emplace_back(rankOf(account, vm), &vm);
    }
    const std::size_t chosenCount = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(chosenCount), ranked.end());
    std::vector<VmName> chosen;
    chosen.reserve(chosenCount);
    for (std::size_t i = 0; i < chosenCount; ++i) {
        chosen.push_back(*ranked[i].second);
    }
    return chosen;
}

} // namespace

} // namespace internal

bool LimitHolders::View::contains(const VmName &vm) const
{
    return std::binary_search(vms.begin(), vms.end(), vm);
}

LimitHolders::LimitHolders(VmName self, LimitHolderSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void LimitHolders::update(const std::vector<Member> &ingressProxies, const std::vector<Member> &members, Instant now)
{
    m_firstUpdate = m_firstUpdate.value_or(now);
    noteIngressProxies(ingressProxies, now);
    noteMembers(members, now);
    removeFormerHolders(now);
    noteView(now);
}

void LimitHolders::noteIngressProxies(const std::vector<Member> &ingressProxies, Instant now)
{
    for (auto &[vm, holder] : m_holders) {
        holder.isIngress = false;
    }
    for (const Member &member : ingressProxies) {
        Holder &holder = m_holders[member.vm];
        const bool isContinued = holder.lastIngress == m_lastUpdate && holder.lastIngress != Instant {};
        holder.ingressSince = isContinued ? holder.ingressSince : now;
        holder.isIngress = true;
        holder.isEstablished = holder.isEstablished || now - holder.ingressSince >= m_settings.establishTime;
        holder.lastIngress = now;
        holder.lastAlive = now;
    }
    m_lastUpdate = now;
}

void LimitHolders::noteMembers(const std::vector<Member> &members, Instant now)
{
    std::map<VmName, bool> wasAlive;
    for (auto &[vm, holder] : m_holders) {
        wasAlive[vm] = std::exchange(holder.isAlive, false);
    }
    for (const Member &member : members) {
        const auto found = m_holders.find(member.vm);
        if (found != m_holders.end() && member.status != MemberStatus::Dead) {
            found->second.isAlive = true;
            found->second.lastAlive = now;
            found->second.peer = member.peer;
        }
    }
    for (const auto &[vm, holder] : m_holders) {
        m_revision += wasAlive[vm] == holder.isAlive ? 0 : 1;
    }
}

void LimitHolders::removeFormerHolders(Instant now)
{
    std::erase_if(m_holders, [this, now](const auto &entry) {
        const Holder &holder = entry.second;
        const bool isOutdated = !holder.isEstablished || now - holder.lastIngress > m_settings.holderLifetime;
        return (!holder.isIngress && isOutdated) || now - holder.lastAlive > m_settings.deadHolderLifetime;
    });
}

void LimitHolders::noteView(Instant now)
{
    View view { now, {} };
    for (const auto &[vm, holder] : m_holders) {
        view.vms.push_back(vm);
    }
    if (m_views.empty() || m_views.back().vms != view.vms) {
        m_counts.emplace_back(now, view.vms.size());
        m_views.push_back(std::move(view));
        ++m_revision;
    }
    // Shares also change when an old view no longer counts.
    const auto endedBefore = [now](const auto &entries, Duration span, auto beginOf) {
        return entries.size() > 1 && now - beginOf(entries[1]) > span;
    };
    while (endedBefore(m_views, m_settings.newPartTime, [](const View &old) {
        return old.since;
    })) {
        m_views.pop_front();
        ++m_revision;
    }
    while (endedBefore(m_counts, m_settings.countLifetime, [](const auto &count) {
        return count.first;
    })) {
        m_counts.pop_front();
        ++m_revision;
    }
    const Duration age = now - m_views.back().since;
    const bool isSettling = age <= m_settings.settleTime + m_settings.newPartTime;
    m_revision += isSettling ? 1 : 0;
    m_maxCount = 1;
    for (const auto &[since, count] : m_counts) {
        m_maxCount = std::max(m_maxCount, count);
    }
}

std::uint64_t LimitHolders::revision() const
{
    return m_revision;
}

AllowanceShare LimitHolders::share(const ClientAccount &account, Instant now) const
{
    AllowanceShare share;
    if (m_views.empty()) {
        return share;
    }
    const Duration age = now - *m_firstUpdate;
    const std::size_t count = holderCount(account.limit, age);
    if (isHolder(account.name, m_views.back(), count)) {
        const Duration heldFor = now - holderSince(account.name, count);
        const bool hasRestarted = age < m_settings.newPartTime;
        const bool isSettled = hasRestarted || heldFor >= m_settings.settleTime;
        const Duration unusedFor = heldFor + (hasRestarted ? m_settings.restartTime : Duration {});
        const double part = 1 / static_cast<double>(count);
        share.lends = age >= m_settings.joinTime || count <= internal::SmallLimitHolders;
        share.part = (isSettled ? 1 : internal::UnsettledShare) * part;
        share.isNew = heldFor < m_settings.newPartTime;
        share.initialRequests = account.limit.perSecond * part * toSeconds(unusedFor);
    }
    for (const VmName &vm : internal::lowestRanked(account.name, m_views.back().vms, count)) {
        const Holder &holder = m_holders.at(vm);
        if (vm != m_self && holder.isAlive) {
            share.lenders.push_back(holder.peer);
        }
    }
    return share;
}

// `age`: of this process.
std::size_t LimitHolders::holderCount(const AccountLimit &limit, Duration age) const
{
    const std::size_t most = age < m_settings.joinTime ? std::max(m_maxCount, m_settings.holdersAtStart) : m_maxCount;
    const double wanted = std::floor(limit.atOnce() / m_settings.requestsPerHolder);
    return static_cast<std::size_t>(std::clamp(wanted, 1.0, static_cast<double>(most)));
}

bool LimitHolders::isHolder(const AccountName &account, const View &view, std::size_t count) const
{
    if (!view.contains(m_self)) {
        return false;
    }
    const internal::Rank own = internal::rankOf(account, m_self);
    const auto before = std::count_if(view.vms.begin(), view.vms.end(), [&account, &own](const VmName &vm) {
        return internal::rankOf(account, vm) < own;
    });
    return static_cast<std::size_t>(before) < count;
}

// Returns since when this process has been a holder in all views.
Instant LimitHolders::holderSince(const AccountName &account, std::size_t count) const
{
    Instant since = m_views.back().since;
    for (auto view = m_views.rbegin(); view != m_views.rend() && isHolder(account, *view, count); ++view) {
        since = view->since;
    }
    return since;
}

} // namespace mulberryplank
