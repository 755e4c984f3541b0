#include "mulberryplank/policy/fleetshares.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr AccountIndex TheAccount = 0;
constexpr double RateLimit = 1'000;
constexpr std::uint32_t InFlightLimit = 40;
constexpr Duration Step = Millis(50);
const Instant Start = Instant {} + Seconds(1'000);

Row tableRow()
{
    Row row;
    row.account = AccountName("shop");
    row.service = ServiceName("pressdesk");
    row.limits = Limits { RateLimit, InFlightLimit, 0 };
    return row;
}

double countOf(std::uint32_t local)
{
    return local == AdmitNone ? 0 : local;
}

// One process, its demand, and whether it stands still.
struct Process {
    VmName vm;
    Incarnation incarnation = 0;
    std::unique_ptr<FleetShares> shares;
    double demand = 0; // requests per second
    Instant pausedUntil {};
    bool stopped = false;
};

struct Faults {
    double loss = 0; // part of reports
    Duration maxDelay = Millis(5);
    bool pauses = false;
    bool restarts = false;
    bool linkFailures = false; // of single directions
    bool demandChanges = false; // demand
};

// Processes that exchange reports over a network that loses, delays, repeats and reorders them.
class Fleet
{
public:
    Fleet(std::uint32_t seed, std::size_t count)
        : m_random(seed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_members.emplace_back("vm" + std::to_string(index));
        }
        for (const VmName &vm : m_members) {
            begin(vm);
        }
    }

    void begin(const VmName &vm)
    {
        Process process;
        process.vm = vm;
        process.incarnation = ++m_lastIncarnation;
        FleetSharesSettings settings;
        settings.self = vm;
        settings.incarnation = process.incarnation;
        process.shares = std::make_unique<FleetShares>(settings, now);
        process.shares->setAccount(TheAccount, tableRow());
        process.shares->setMembers(m_members, now);
        processes.push_back(std::move(process));
    }

    void step(const Faults &faults)
    {
        now += Step;
        for (std::size_t index = 0; index < processes.size(); ++index) {
            if (running(processes[index]) && now >= processes[index].shares->nextReport()) {
                report(processes[index], faults);
            }
        }
        deliver();
        injectFaults(faults);
    }

    void run(Duration time, const Faults &faults)
    {
        const Instant end = now + time;
        while (now < end) {
            step(faults);
        }
    }

    bool running(const Process &process) const
    {
        return !process.stopped && now >= process.pausedUntil;
    }

    Limits limits(const Process &process) const
    {
        return process.shares->localLimits(TheAccount, now);
    }

    double rateSum() const
    {
        double sum = 0;
        for (const Process &process : processes) {
            sum += running(process) ? limits(process).requestsPerSecond : 0;
        }
        return sum;
    }

    double inFlightSum() const
    {
        double sum = 0;
        for (const Process &process : processes) {
            sum += running(process) ? countOf(limits(process).inFlight) : 0;
        }
        return sum;
    }

    // Ends every process's pause and every cut.
    void heal()
    {
        m_blockedLinks.clear();
        for (Process &process : processes) {
            process.pausedUntil = now;
        }
    }

    // Cuts the first `count` members off from the others, in both directions.
    void partition(std::size_t count)
    {
        for (std::size_t one = 0; one < m_members.size(); ++one) {
            for (std::size_t other = 0; other < m_members.size(); ++other) {
                if ((one < count) != (other < count)) {
                    m_blockedLinks[{ m_members[one], m_members[other] }] = true;
                }
            }
        }
    }

    // Tells one process that the members with indexes from `first` up to `end` carry the service.
    void setMembersOf(std::size_t process, std::size_t first, std::size_t end)
    {
        const std::vector<VmName> members(m_members.begin() + static_cast<std::ptrdiff_t>(first),
                                          m_members.begin() + static_cast<std::ptrdiff_t>(end));
        processes[process].shares->setMembers(members, now);
    }

    // Tells the same to just these members.
    void setMembersOfPart(std::size_t first, std::size_t end)
    {
        for (std::size_t index = first; index < end; ++index) {
            setMembersOf(index, first, end);
        }
    }

    // Runs and returns the maxSum sum of rates that occurred.
    double maxRateSum(Duration time)
    {
        double maxSum = 0;
        const Instant end = now + time;
        while (now < end) {
            step({});
            maxSum = std::max(maxSum, rateSum());
        }
        return maxSum;
    }

    Instant now = Start;
    std::vector<Process> processes;

private:
    struct Message {
        std::size_t sender;
        std::size_t receiver;
        DemandReport report;
    };

    double chance()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    void report(Process &process, const Faults &faults)
    {
        AccountDemand demand { TheAccount, Seconds(1), process.demand,       process.demand / 100,
                               0,          0,          process.demand / 100, 0 };
        process.shares->observe(process.demand > 0 ? std::vector { demand } : std::vector<AccountDemand> {});
        const DemandReport sent = process.shares->report(now);
        const auto sender = static_cast<std::size_t>(&process - processes.data());
        for (std::size_t receiver = 0; receiver < processes.size(); ++receiver) {
            const bool cut = m_blockedLinks.contains({ process.vm, processes[receiver].vm });
            if (receiver == sender || cut || chance() < faults.loss) {
                continue;
            }
            const int copies = chance() < faults.loss / 2 ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                const auto delay = fromSeconds(chance() * toSeconds(faults.maxDelay));
                m_network.emplace(now + delay, Message { sender, receiver, sent });
            }
        }
    }

    void deliver()
    {
        while (!m_network.empty() && m_network.begin()->first <= now) {
            const Message message = m_network.begin()->second;
            m_network.erase(m_network.begin());
            Process &receiver = processes[message.receiver];
            const Process &sender = processes[message.sender];
            if (receiver.stopped) {
                continue;
            }
            if (!running(receiver)) {
                m_network.emplace(receiver.pausedUntil, message); // waits in the socket
                continue;
            }
            receiver.shares->merge(sender.vm, sender.incarnation, message.report, now);
        }
    }

    void injectFaults(const Faults &faults)
    {
        Process &any = processes[m_random() % processes.size()];
        if (faults.demandChanges && chance() < 0.01) {
            any.demand = chance() < 0.4 ? 0 : chance() * 2'000;
        }
        if (faults.pauses && chance() < 0.005) {
            any.pausedUntil = now + fromSeconds(chance() * 30);
        }
        if (faults.linkFailures && chance() < 0.01) {
            const VmName &from = m_members[m_random() % m_members.size()];
            const VmName &to = m_members[m_random() % m_members.size()];
            if (m_blockedLinks.erase({ from, to }) == 0) {
                m_blockedLinks[{ from, to }] = true;
            }
        }
        if (faults.restarts && chance() < 0.002 && processes.size() < 3 * m_members.size()) {
            replace(any);
        }
    }

    // Starts another process in the place of one that is dead, or thought dead and only paused.
    void replace(Process &process)
    {
        const VmName vm = process.vm;
        process.stopped = process.stopped || chance() < 0.5;
        process.pausedUntil = std::max(process.pausedUntil, now + Seconds(20));
        begin(vm);
    }

    std::mt19937 m_random;
    std::vector<VmName> m_members;
    std::multimap<Instant, Message> m_network;
    std::map<std::pair<VmName, VmName>, bool> m_blockedLinks;
    Incarnation m_lastIncarnation = 0;
};

// Returns how far the sum may go: processes beyond one per member and one more each have a fixed part.
double maxAllowedRate(const Fleet &fleet, std::size_t members)
{
    const auto count = static_cast<std::size_t>(
        std::count_if(fleet.processes.begin(), fleet.processes.end(), [&fleet](const Process &process) {
            return fleet.running(process);
        }));
    const std::size_t extra = count > members + 1 ? count - members - 1 : 0;
    return RateLimit * (1 + 0.05 * static_cast<double>(extra) / static_cast<double>(members + 1)) + 1e-6;
}

} // namespace

TEST_GROUP(FleetShares) {};

TEST(FleetShares, sumNeverPassesTheLimitWhateverIsLostDelayedPausedOrRestarted)
{
    CHECK_TRUE(rc::check("sum of local limits within the fleet's", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        // A member alone has nobody who could setMembersOf it of a predecessor that is only paused.
        const auto members = *rc::gen::inRange<std::size_t>(2, 7);
        Faults faults;
        faults.demandChanges = true;
        faults.loss = *rc::gen::inRange(0, 60) / 100.0;
        faults.maxDelay = Millis(*rc::gen::inRange(1, 10'000));
        faults.pauses = *rc::gen::arbitrary<bool>();
        faults.restarts = *rc::gen::arbitrary<bool>();
        faults.linkFailures = *rc::gen::arbitrary<bool>();
        Fleet fleet(seed, members);
        for (int step = 0; step < 1'500; ++step) {
            fleet.step(faults);
            RC_ASSERT(fleet.rateSum() <= maxAllowedRate(fleet, members));
            RC_ASSERT(fleet.inFlightSum() <= InFlightLimit);
        }
    }));
}

TEST(FleetShares, sumStaysWithinTheLimitWhileMembersLearnOfOtherMembersAtDifferentTimes)
{
    CHECK_TRUE(rc::check("no pool is used twice while the set of members changes", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        std::mt19937 random(seed);
        Faults faults;
        faults.demandChanges = true;
        faults.loss = *rc::gen::inRange(0, 30) / 100.0;
        faults.maxDelay = Millis(*rc::gen::inRange(1, 500));
        Fleet fleet(seed, 7);
        std::size_t first = 0;
        std::size_t count = 7;
        std::vector<Instant> learnTimes(7, Start);
        // Parts of fixed parts differ with the number of members; the pool must never be passed.
        const double maxRate = RateLimit * (1 + 0.05);
        for (int step = 0; step < 1'200; ++step) {
            if (step % 300 == 299) {
                first = random() % 3;
                count = 3 + random() % (7 - first - 2);
                for (Instant &learnTime : learnTimes) {
                    learnTime = fleet.now + Millis(random() % 3'000);
                }
            }
            for (std::size_t index = 0; index < learnTimes.size(); ++index) {
                if (fleet.now >= learnTimes[index]) {
                    learnTimes[index] = Instant::max();
                    fleet.setMembersOf(index, first, first + count);
                }
            }
            fleet.step(faults);
            RC_ASSERT(fleet.rateSum() <= maxRate);
            RC_ASSERT(fleet.inFlightSum() <= InFlightLimit);
        }
    }));
}

TEST(FleetShares, nearlyAllOfALimitFollowsDemandToOneMember)
{
    Fleet fleet(1, 6);
    fleet.run(Seconds(5), {});
    fleet.processes[2].demand = 5'000;
    fleet.run(Seconds(3), {});
    CHECK_TRUE(fleet.limits(fleet.processes[2]).requestsPerSecond >= 0.95 * RateLimit);
    CHECK_TRUE(countOf(fleet.limits(fleet.processes[2]).inFlight) >= 0.95 * InFlightLimit);
}

TEST(FleetShares, sharesComeBackOnceFaultsAreOver)
{
    CHECK_TRUE(rc::check("at least 95% of a limit is usable 20 s after the last fault", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto members = *rc::gen::inRange<std::size_t>(1, 7);
        Fleet fleet(seed, members);
        fleet.run(Seconds(40), Faults { 0.3, Seconds(3), true, false, true, true });
        fleet.heal();
        for (Process &process : fleet.processes) {
            process.demand = 300;
        }
        fleet.run(Seconds(20), {});
        RC_ASSERT(fleet.rateSum() >= 0.95 * RateLimit);
    }));
}

// Failure: one member's crash leaves a part of every limit unused for good.
TEST(FleetShares, claimsOfADeadMemberAreUsedByTheOthersAfterItsSilence)
{
    Fleet fleet(1, 5);
    fleet.processes[0].demand = 2'000;
    fleet.run(Seconds(10), {});
    fleet.processes[0].stopped = true;
    fleet.processes[1].demand = 2'000;
    fleet.run(Seconds(5), {});
    CHECK_TRUE(fleet.limits(fleet.processes[1]).requestsPerSecond < 0.3 * RateLimit); // still reserved
    fleet.run(Seconds(7), {});
    CHECK_TRUE(fleet.limits(fleet.processes[1]).requestsPerSecond > 0.9 * RateLimit);
}

// Failure: while two parts of the fleet have lost each other, an account gets up to twice its limit.
TEST(FleetShares, smallerPartOfAPartitionKeepsToItsFixedPart)
{
    Fleet fleet(1, 5);
    for (Process &process : fleet.processes) {
        process.demand = 500;
    }
    fleet.run(Seconds(10), {});
    fleet.partition(2);
    for (int step = 0; step < 600; ++step) {
        fleet.step({});
        CHECK_TRUE(fleet.rateSum() <= RateLimit + 1e-6);
    }
    CHECK_TRUE(fleet.limits(fleet.processes[0]).requestsPerSecond <= 0.05 * RateLimit);
    CHECK_TRUE(fleet.rateSum() > 0.9 * RateLimit);
}

// Failure: a partition that lasts gives an account as many times its limit as there are parts.
TEST(FleetShares, partsThatTakeThemselvesForTheWholeAreHeldBackForAGraceAndBoundedAfterIt)
{
    Fleet fleet(1, 5);
    for (Process &process : fleet.processes) {
        process.demand = 500;
    }
    fleet.run(Seconds(10), {});
    fleet.partition(2);
    fleet.run(Seconds(5), {});
    fleet.setMembersOfPart(0, 2);
    fleet.setMembersOfPart(2, 5);
    const double fixedParts = 0.05 * RateLimit; // those of a smaller whole are larger
    CHECK_TRUE(fleet.maxRateSum(Seconds(50)) <= RateLimit + fixedParts);
    const double later = fleet.maxRateSum(Seconds(60));
    CHECK_TRUE(later > 1.5 * RateLimit);
    CHECK_TRUE(later <= 2 * RateLimit);
    fleet.heal();
    fleet.setMembersOfPart(0, 5);
    fleet.run(Seconds(10), {});
    CHECK_TRUE(fleet.maxRateSum(Seconds(10)) <= RateLimit + 1e-6);
    CHECK_TRUE(fleet.rateSum() >= 0.95 * RateLimit);
}

// Failure: a process that wakes up after a long pause lets in a burst of requests beyond the limit.
TEST(FleetShares, claimsEndWithTheLeaseEvenIfTheMemberDoesNothing)
{
    Fleet fleet(1, 3);
    fleet.run(Seconds(5), {});
    const FleetShares &shares = *fleet.processes[0].shares;
    const Instant end = shares.leaseEnd();
    CHECK_TRUE(shares.localLimits(TheAccount, end - Millis(1)).requestsPerSecond > 0.3 * RateLimit);
    CHECK_TRUE(shares.localLimits(TheAccount, end).requestsPerSecond <= 0.05 * RateLimit);
    CHECK_TRUE(shares.localLimits(TheAccount, end).inFlight == AdmitNone);
}

TEST(FleetShares, localWeightsAndCapacityFollowWhereAnAccountsDemandIs)
{
    FleetSharesSettings settings;
    settings.self = VmName("vm0");
    FleetShares shares(settings, Start);
    Row row = tableRow();
    row.weight = 4;
    shares.setAccount(0, row);
    row.account = AccountName("farm");
    shares.setAccount(1, row);
    shares.setMembers({ VmName("vm0"), VmName("vm1") }, Start);
    // "shop" comes to both members alike, "farm" to the other one only; each wants all of ten slots.
    shares.observe({ { 0, Seconds(1), 0, 5, 0, 0, 0, 0 } });
    shares.report(Start);
    DemandReport report;
    report.sequence = 1;
    report.contentSequence = 1;
    report.accounts = { { AccountName("shop"), {}, 5, {} }, { AccountName("farm"), {}, 10, {} } };
    shares.merge(VmName("vm1"), 7, report, Start);
    DOUBLES_EQUAL(2, shares.localWeight(0), 1e-6);
    CHECK_TRUE(shares.localWeight(1) < 0.01);
    DOUBLES_EQUAL(0.25, shares.capacityShare(10), 1e-6); // half of shop's half
}
