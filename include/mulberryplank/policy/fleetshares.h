#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "mulberryplank/base/name.h"
#include "mulberryplank/base/time.h"
#include "mulberryplank/policy/configmodel.h"
#include "mulberryplank/policy/fairqueue.h"
#include "mulberryplank/policy/member.h"

namespace mulberryplank
{

// The limits that are shared out over the fleet; indexes into ShareAmounts.
enum class LimitKind : std::uint8_t {
    RequestsPerSecond,
    InFlight,
    Queue,
};

inline constexpr std::size_t LimitKinds = 3;
using ShareAmounts = std::array<double, LimitKinds>;

// What a member has peerStatus from another one.
struct PeerStatus {
    VmName vm;
    Incarnation incarnation = 0; // 0: never peerStatus from
    std::uint64_t sequence = 0; // of the last report peerStatus; acknowledges it, unless unresponsive is set
    bool unresponsive = false; // was not peerStatus from for so long that its claims count as given up

    bool operator==(const PeerStatus &) const = default;
};

// One account in a member's report.
struct AccountReport {
    AccountName account;
    ShareAmounts wanted {}; // by LimitKind
    double slots = 0; // slot-time asked for per second
    ShareAmounts claimed {}; // by LimitKind, of the pool: what the member holds, or will hold once all acknowledged it

    bool operator==(const AccountReport &) const = default;
};

// What a member tells the other members that carry the same service. An account that isn't named has no demand there;
// its claim is an even part of the pool if claimsEvenParts, else none.
struct DemandReport {
    std::uint64_t sequence = 0; // grows by one per report of an incarnation
    std::uint64_t contentSequence = 0; // of the report that first said what this one confirmed of accounts
    bool complete = true; // false: nothing changed since contentSequence, and accounts are left out
    bool leaving = false; // the last report of this incarnation, which holds nothing any more
    bool claimsEvenParts = false;
    std::uint64_t membersDigest = 0; // of the members that the sender takes for those that carry the service
    std::uint32_t memberCount = 0;
    std::vector<PeerStatus> peerStatus;
    std::vector<AccountReport> accounts;

    bool operator==(const DemandReport &) const = default;
};

struct FleetSharesSettings {
    VmName self;
    Incarnation incarnation = 0;
    double fixedPart = 0.05; // of each limit, 0 to 1, that all members together may use without agreement
    Duration reportInterval = Seconds(1); // while nothing changes
    Duration quickInterval = Millis(200); // while claims are being changed
    Duration lease = Seconds(3); // how long claims hold without acknowledgements
    Duration silenceTimeout = Seconds(7); // after which a unresponsive member's claims are given up. More than twice
                                          // the lease, by as much as clocks may differ in speed
    Duration partitionGrace = Seconds(60); // after which a member that has lost most of the others goes on without them
    std::size_t maxAccounts = 256; // in one report; accounts beyond it keep to even parts
};

// Shares out the fleet-wide limits and weights of one service's accounts over the members that carry the service.
//
// Each limit has a fixed part, split evenly, which a member may always use, and a pool, which members claim from: even
// parts as long as nobody asks for an account, and parts by demand from then on, worked out by all in the same way from
// the same reports. A member lowers its own claim at once. To raise it, it reports the higher claim, and uses it only
// when every other member has acknowledged that report and all claims known by then add up to no more than the pool.
// The last one to pass this check has seen what all others hold, so that the sum never passes the limit, however
// reports are delayed, lost, repeated or reordered.
//
// A member that isn't linked (peerStatus, and acknowledged, within the lease) with a majority of the members gives up
// its claims by its own clock. Claims of a unresponsive member stay reserved until a majority confirmed that it was
// unresponsive for more than twice the lease; who said so acknowledges nothing more of it until it has given up its
// claims itself. While no majority is linked, only fixed parts are used.
//
// The sum can pass a limit in these cases only:
// - Requests in flight when a member gives up its claims run to their end.
// - While parts of the fleet take different members for those that carry the service, and lost each other for longer
//   than partitionGrace, each part may use the limit once.
// - A process that is started in the place of another begins with a fixed part of its own. Fixed parts leave room for
//   one such process at a time; each further one that lives beside its predecessor adds fixedPart / (members + 1). A
//   service that is carried by a single member has nobody to tell it of its predecessor.
// - A clock that stood still, or ran more than a sixth slower than the others, during a pause.
// Not synchronized.
class FleetShares
{
public:
    FleetShares(FleetSharesSettings settings, Instant now);
    ~FleetShares();
    FleetShares(const FleetShares &) = delete;
    FleetShares &operator=(const FleetShares &) = delete;

    // Sets the members that carry the service, this one included; a list without it gives up all claims. All members
    // should be told the same, and none before it has a view of the fleet: a member that takes itself for the only one
    // uses whole limits.
    void setMembers(std::vector<VmName> members, Instant now);

    // Adds an account, or changes its row: its limits over the whole fleet and its weight.
    void setAccount(AccountIndex account, const Row &row);
    void removeAccount(AccountIndex account);

    // Takes in what this process was asked for since the last call, as from FairQueue::takeDemand(). Accounts that are
    // not named had no demand. To be called before each report().
    void observe(const std::vector<AccountDemand> &demands);

    // Returns when the next report() is due.
    Instant nextReport() const;

    // Returns the report to send to every other member, and moves claims where demand or silenceTimeout asks for it.
    DemandReport report(Instant now);

    // Gives up all claims and returns the last report to send, so that the others need not wait for silenceTimeout.
    DemandReport leave(Instant now);

    // Takes in another member's report. Reports may come late, repeatedly, or out of order.
    void merge(const VmName &from, Incarnation incarnation, const DemandReport &report, Instant now);

    // Returns what the account may use in this process now, for FairQueue::setLocalLimits(). To be asked after each
    // observe(), report() and merge(), and again at leaseEnd(). An unknown account may use nothing.
    Limits localLimits(AccountIndex account, Instant now) const;

    // Returns the account's weight in this process, above 0, for FairQueue::setLocalWeight(): its row's weight times
    // the part of its demand that comes here.
    double localWeight(AccountIndex account) const;

    // Returns which part, 0 to 1, of the service's `slots` this process should use at most while all of them are taken,
    // so that weights hold over the service as a whole although accounts spread unevenly over its members.
    double capacityShare(double slots) const;

    // Returns the geometric mean of what requests cost over all members, for FairQueue::setTypicalCost(); zero while
    // nobody asks for anything.
    Duration typicalCost() const;

    // Returns when this process's claims end if no further acknowledgement arrives. In the past: it has none.
    Instant leaseEnd() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace mulberryplank
