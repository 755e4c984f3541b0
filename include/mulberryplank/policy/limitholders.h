#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "mulberryplank/policy/clientaccounts.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// How the limits of accounts are divided among processes.
struct LimitHolderSettings {
    // Each holder of a limit has at least this many of the requests that may come at once, so that small limits aren't
    // divided into fractions that no process can use without the others.
    double requestsPerHolder = 3;
    // How long a process that was an ingress proxy remains a holder, if it was one for `establishTime`. Its callers
    // haven't all moved. While a fleet starts and its processes become ready, each process takes others for ingress
    // proxies for a moment; those must not become holders, as the others know nothing of them.
    Duration holderLifetime = Seconds(30);
    Duration establishTime = Seconds(10);
    // How long a holder that appears dead keeps its part. It may only be cut off and serve callers still.
    Duration deadHolderLifetime = Seconds(5);
    // How long a process uses only half of a part that is new to it. Until then others may not know that it has it.
    Duration settleTime = Seconds(2);
    // How long a started process may not know all others. It then assumes at least `holdersAtStart` of large limits.
    // Mostly it replaces a process on the same VM, whose part no other process has, so that it uses its part in full.
    Duration joinTime = Seconds(5);
    std::size_t holdersAtStart = 8;
    // The least time between the end of a process and its successor's first request. Nothing was used meanwhile.
    Duration restartTime = Millis(500);
    // How long a part is new to a process: until then its last holder may have used it within the same window.
    Duration newPartTime = Seconds(5);
    // How long the number of holders is remembered. A process that is cut off considers the others dead while they use
    // their parts.
    Duration countLifetime = Seconds(60);
};

// The part of an account's limit that this process has, and who has the rest.
struct AllowanceShare {
    double part = 0; // of the limit, 0 to 1
    bool isNew = true; // another process may have used it just now
    double initialRequests = 0; // that the process may use at once of a part that is new to it
    bool lends = true; // false: this process may only believe that it has a part, and others may have it as well
    std::vector<Endpoint> lenders; // the other holders that aren't dead
};

// Divides the limits of accounts among the processes that callers are directed to, without any message: all processes
// that know the same members select the same holders of a limit, by a hash of the account's and the VM's name, and each
// holder has an equal part. Others borrow from the holders. Thread-compatible.
class LimitHolders
{
public:
    LimitHolders(VmName self, LimitHolderSettings settings);

    // Applies what this process knows of the fleet. Must be called at regular intervals of a second or less, and when
    // that changes. `ingressProxies` are those of `members` that callers are directed to.
    void update(const std::vector<Member> &ingressProxies, const std::vector<Member> &members, Instant now);

    // Increases when the result of share() may have changed.
    std::uint64_t revision() const;

    // Returns the share of this process in a limited account.
    AllowanceShare share(const ClientAccount &account, Instant now) const;

private:
    struct Holder {
        Endpoint peer;
        bool isAlive = false;
        bool isIngress = false;
        bool isEstablished = false; // was an ingress proxy for long enough to remain a holder
        Instant ingressSince {};
        Instant lastIngress {};
        Instant lastAlive {};
    };
    // The VMs of the holders, in force from `since` to the next view's.
    struct View {
        Instant since {};
        std::vector<VmName> vms; // sorted

        bool contains(const VmName &vm) const;
    };

    void noteIngressProxies(const std::vector<Member> &ingressProxies, Instant now);
    void noteMembers(const std::vector<Member> &members, Instant now);
    void removeFormerHolders(Instant now);
    void noteView(Instant now);
    std::size_t holderCount(const AccountLimit &limit, Duration age) const;
    bool isHolder(const AccountName &account, const View &view, std::size_t count) const;
    Instant holderSince(const AccountName &account, std::size_t count) const;

    VmName m_self;
    LimitHolderSettings m_settings;
    std::map<VmName, Holder> m_holders;
    Instant m_lastUpdate {};
    std::optional<Instant> m_firstUpdate;
    std::deque<View> m_views; // the last one is in force
    std::deque<std::pair<Instant, std::size_t>> m_counts; // of holders, each in force from that time
    std::size_t m_maxCount = 1; // of those
    std::uint64_t m_revision = 1;
};

} // namespace mulberryplank
