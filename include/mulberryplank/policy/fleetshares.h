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

// The limits that are divided over the fleet; indexes into ShareAmounts.
enum class LimitKind : std::uint8_t {
    RequestsPerSecond,
    InFlight,
    Queue,
};

inline constexpr std::size_t LimitKinds = 3;
using ShareAmounts = std::array<double, LimitKinds>;

// What a member has received from another one.
struct PeerStatus {
    VmName vm;
    Incarnation incarnation = 0; // 0: nothing received yet
    std::uint64_t sequence = 0; // of the last report received, which this acknowledges unless `unresponsive` is set
    bool unresponsive = false; // no report was received for so long that its claims count as released

    bool operator==(const PeerStatus &) const = default;
};

// One account in a member's report.
struct AccountReport {
    AccountName account;
    ShareAmounts wanted {}; // by LimitKind
    double slots = 0; // slot-time requested per second
    ShareAmounts claimed {}; // by LimitKind: its part of the pool, held now or once all have acknowledged it

    bool operator==(const AccountReport &) const = default;
};

// A report of a member to the other members that are assigned the same service. An account that isn't named has no
// demand at the member; its claim is an even part of the pool if claimsEvenParts is set, else none.
struct DemandReport {
    std::uint64_t sequence = 0; // increases by one per report of an incarnation
    std::uint64_t contentSequence = 0; // of the first report with the same content about accounts
    bool complete = true; // false: nothing changed since contentSequence, and accounts are omitted
    bool leaving = false; // the last report of this incarnation, which no longer holds any claim
    bool claimsEvenParts = false;
    std::uint64_t membersDigest = 0; // of the members that the sender considers assigned to the service
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
    Duration silenceTimeout = Seconds(7); // after which claims of an unresponsive member are released. More than twice
                                          // the lease, by as much as clocks may differ in speed
    Duration partitionGrace = Seconds(60); // after which a member that has lost a majority of the others acts alone
    std::size_t maxAccounts = 256; // in one report; accounts beyond it use even parts
};

// Divides the fleet-wide limits and weights of one service's accounts among the members that are assigned the service.
//
// Each limit has a fixed part, split evenly, which a member may always use, and a pool, which members claim from.
// Claims are even parts while no member has demand for an account. With demand, they are parts by demand, which all
// members compute in the same way from the same reports. A member lowers its own claim at once. To raise its claim, it
// reports the higher one. It uses that one only after every other member has acknowledged the report, and only if all
// claims that it then knows add up to no more than the pool. The last member to pass this check has seen the claims of
// all others, so the sum never exceeds the limit, however reports are delayed, lost, repeated or reordered.
//
// A member is linked with another one if, within the lease, it received a report and an acknowledgement from it. A
// member that isn't linked with a majority of the members releases its claims by its own clock. Claims of an
// unresponsive member stay reserved until a majority reports that it was unresponsive for more than twice the lease. A
// member that has reported this doesn't acknowledge reports of the unresponsive member until that member has released
// its claims itself. While no majority is linked, only fixed parts are used.
//
// The sum can exceed a limit in these cases only:
// - Requests in flight when a member releases its claims run to their end.
// - While parts of the fleet disagree on the members that are assigned the service, and were partitioned for longer
//   than partitionGrace, each part may use the limit once.
// - A process that replaces another begins with a fixed part of its own. Fixed parts leave room for one such process at
//   a time; each further one that coexists with its predecessor adds fixedPart / (members + 1). If a service is
//   assigned to a single member, no other member can report its predecessor.
// - A clock that stopped, or ran more than a sixth slower than the others, during a pause.
// Thread-compatible.
class FleetShares
{
public:
    FleetShares(FleetSharesSettings settings, Instant now);
    ~FleetShares();
    FleetShares(const FleetShares &) = delete;
    FleetShares &operator=(const FleetShares &) = delete;

    // Sets the members that are assigned the service, this one included. A list without this member releases all
    // claims. All members should be given the same list, but only once they have a view of the fleet: a member that
    // considers itself the only one uses whole limits.
    void setMembers(std::vector<VmName> members, Instant now);

    // Adds an account, or changes its row: its fleet-wide limits and its weight.
    void setAccount(AccountIndex account, const Row &row);
    void removeAccount(AccountIndex account);

    // Records the demand on this process since the last call, as from FairQueue::takeDemand(). Accounts that aren't
    // named had no demand. Must be called before each report().
    void observe(const std::vector<AccountDemand> &demands);

    // Returns when the next report() is due.
    Instant nextReport() const;

    // Returns the report to send to every other member, and adjusts claims to demand and to unresponsive members.
    DemandReport report(Instant now);

    // Releases all claims and returns the last report to send, so that the other members needn't wait for the timeout.
    DemandReport leave(Instant now);

    // Merges another member's report. Reports may arrive late, repeatedly, or out of order.
    void merge(const VmName &from, Incarnation incarnation, const DemandReport &report, Instant now);

    // Returns what the account may use in this process now, for FairQueue::setLocalLimits(). Must be read after each
    // observe(), report() and merge(), and again at leaseEnd(). An unknown account may use nothing.
    Limits localLimits(AccountIndex account, Instant now) const;

    // Returns the account's weight in this process, above 0, for FairQueue::setLocalWeight(): the weight of its row
    // times the part of its demand that arrives here.
    double localWeight(AccountIndex account) const;

    // Returns the maximum part, 0 to 1, of the service's `slots` that this process should use while all of them are
    // taken. Weights then hold for the service as a whole although accounts spread unevenly over its members.
    double capacityShare(double slots) const;

    // Returns the geometric mean of the cost of requests on all members, for FairQueue::setTypicalCost(); zero while no
    // member has demand.
    Duration typicalCost() const;

    // Returns when this process's claims end if no further acknowledgement arrives. In the past if it has none.
    Instant leaseEnd() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace mulberryplank
