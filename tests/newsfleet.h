// A fleet of news followers before one store, on virtual time, for tests: processes die and start again, are turned
// away by the store or cut off from each other, and messages are lost.
#pragma once

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "../src/net/fakekeyedstore.h"
#include "mulberryplank/net/clock.h"
#include "mulberryplank/net/newsfollower.h"
#include "mulberryplank/net/pause.h"
#include "mulberryplank/policy/peerchoice.h"

namespace mulberryplank
{

// How the store treats a process.
enum class StoreAccess {
    Served,
    Refused, // calls fail at once
    Silent, // calls end without an answer when their time is up
};

// How a fleet is played.
struct NewsFleetPlan {
    std::size_t domains = 3;
    std::size_t perDomain = 4; // processes
    double lostHints = 0.05; // share of the datagrams
    std::uint64_t seed = 1;
};

class NewsFleet
{
public:
    explicit NewsFleet(const NewsFleetPlan &plan)
        : m_plan(plan)
        , m_random(plan.seed)
        , m_time(Instant(Seconds(1'000)))
        , m_store(m_context)
    {
        for (std::size_t index = 0; index < plan.domains * plan.perDomain; ++index) {
            m_processes.push_back(std::make_unique<Process>());
            startProcess(index);
        }
    }

    // Lets time pass.
    void run(Duration span)
    {
        const Instant end = Clock::now() + span;
        while (Clock::now() < end) {
            m_time.advance(Step);
            runProcesses();
            m_context.restart();
            m_context.poll();
        }
    }

    // The operators change the configuration; the store has confirmed it.
    void changeConfiguration()
    {
        ++m_version;
        m_confirmed.emplace_back(Clock::now(), m_version);
        m_store.put(KeyedTopic::Configuration, "config", std::to_string(m_version));
    }

    // A target starts; returns its number.
    std::size_t startTarget()
    {
        putTarget(++m_targetsStarted);
        return m_targetsStarted;
    }

    // A target that runs says so again.
    void renewTarget(std::size_t target)
    {
        putTarget(target);
    }

    // A target says that it leaves; the store has confirmed it.
    void drainTarget(std::size_t target)
    {
        m_leftAt.emplace(target, Clock::now());
        putTarget(target);
    }

    // The process dies, and another one starts in its place.
    void restartProcess(std::size_t index)
    {
        m_processes[index]->life->alive = false;
        m_retired.push_back(std::move(m_processes[index]->follower));
        startProcess(index);
    }

    void setAccess(std::size_t index, StoreAccess access)
    {
        m_processes[index]->access = access;
    }

    // Cuts a process off from all others, or ends that.
    void setCut(std::size_t index, bool isCut)
    {
        m_processes[index]->isCut = isCut;
        m_processes[index]->disturbedAt = Clock::now();
    }

    std::size_t size() const
    {
        return m_processes.size();
    }

    // Returns how many processes go by a configuration although a newer one was confirmed longer than `bound` ago.
    // Only processes that run and weren't cut off for a while count.
    std::size_t behind(Duration bound) const
    {
        const Instant now = Clock::now();
        std::uint64_t due = 0;
        for (const auto &[at, version] : m_confirmed) {
            due = now - at > bound ? std::max(due, version) : due;
        }
        return countInTouch([due](const Process &process) {
            return versionOf(process) != 0 && versionOf(process) < due;
        });
    }

    // Returns how many of them would send a request to a target that left longer than `bound` ago.
    std::size_t sendingToTheLeft(Duration bound) const
    {
        const Instant now = Clock::now();
        return countInTouch([this, now, bound](const Process &process) {
            return std::any_of(m_leftAt.begin(), m_leftAt.end(), [&](const auto &left) {
                const auto &listed = process.follower->directory().targets();
                const auto found = listed.find(nameOf(left.first));
                return now - left.second > bound && found != listed.end() && !found->second.target.draining;
            });
        });
    }

    // Says whether a process knows that a target leaves.
    bool knowsThatLeft(std::size_t index, std::size_t target) const
    {
        const auto &listed = m_processes[index]->follower->directory().targets();
        const auto found = listed.find(nameOf(target));
        return found != listed.end() && found->second.target.draining;
    }

    // Says whether a process has gone back to an older configuration.
    bool hasGoneBack() const
    {
        return m_hasGoneBack;
    }

private:
    static constexpr Duration Step = Millis(1);
    static constexpr Duration PeerDelay = Millis(2);
    static constexpr Duration StoreDelay = Millis(4);
    static constexpr Duration ReaderLimit = Millis(400);
    static constexpr Duration PeerLimit = Millis(500);
    static constexpr Duration ListLimit = Millis(400);
    static constexpr Duration ReadLimit = Millis(500); // for an answer of the store to begin
    static constexpr Duration NewestLimit = Millis(1'500); // the same for the newest records
    static constexpr Duration KeepaliveLimit = Seconds(3);
    static constexpr Duration DeadAfter = Seconds(3); // others take a dead or cut process for alive for so long
    static constexpr Duration InTouchAfter = Seconds(3); // from a start or the end of a cut
    static constexpr std::size_t ConfigurationReaders = 2; // of each failure domain
    static constexpr Duration GossipInterval = Millis(500);
    static constexpr Duration RequestInterval = Millis(100);

    // One start of a process: what it began before its end has no effect any more.
    struct Life {
        bool alive = true;
    };
    struct Process {
        std::shared_ptr<Life> life;
        std::unique_ptr<NewsFollower> follower;
        StoreAccess access = StoreAccess::Served;
        RecentlyFailedPeers silentPeers { Seconds(2) };
        RecentlyFailedPeers withoutList { Millis(500) };
        bool isCut = false;
        Instant disturbedAt {}; // its start, or the begin or end of a cut
        std::uint64_t gossipedVersion = 0; // the configuration that the others know it to have
        Instant nextGossip {};
        Instant nextRequest {};
    };

    static std::uint64_t versionOf(const Process &process)
    {
        return process.follower->routes() ? process.follower->routes()->version : 0;
    }

    static TargetName nameOf(std::size_t target)
    {
        return TargetName("i-" + std::to_string(target));
    }

    template<typename Predicate>
    std::size_t countInTouch(Predicate counts) const
    {
        const Instant now = Clock::now();
        const auto found = std::count_if(m_processes.begin(), m_processes.end(), [&](const auto &process) {
            const bool inTouch = !process->isCut && now - process->disturbedAt > InTouchAfter;
            return inTouch && counts(*process);
        });
        return static_cast<std::size_t>(found);
    }

    void putTarget(std::size_t target)
    {
        const std::string state = m_leftAt.contains(target) ? "d" : "";
        m_store.put(KeyedTopic::Targets, nameOf(target).value(), std::to_string(++m_sequence) + state);
    }

    std::size_t domainOf(std::size_t index) const
    {
        return index / m_plan.perDomain;
    }

    // Returns whether the others take a process for alive.
    bool seemsAlive(std::size_t index) const
    {
        const Process &process = *m_processes[index];
        return !process.isCut || Clock::now() - process.disturbedAt < DeadAfter;
    }

    // Returns who reads the store for a process, as this one sees it: who is cut off takes the others for dead in time.
    std::size_t designatedReader(std::size_t index) const
    {
        if (!seemsAlive(index)) {
            return index;
        }
        std::size_t reader = domainOf(index) * m_plan.perDomain;
        while (reader != index && !seemsAlive(reader)) {
            ++reader;
        }
        return reader;
    }

    // Says whether a process is among the first two of its failure domain.
    bool readsConfiguration(std::size_t index) const
    {
        std::size_t before = 0;
        for (std::size_t other = domainOf(index) * m_plan.perDomain; other < index; ++other) {
            before += seemsAlive(other) && seemsAlive(index) ? 1 : 0;
        }
        return before < ConfigurationReaders;
    }

    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_random);
    }

    bool areConnected(std::size_t one, std::size_t other) const
    {
        return !m_processes[one]->isCut && !m_processes[other]->isCut;
    }

    void runProcesses()
    {
        const Instant now = Clock::now();
        for (std::size_t index = 0; index < size(); ++index) {
            Process &process = *m_processes[index];
            if (now >= process.nextGossip) {
                process.nextGossip = now + GossipInterval;
                gossip(index);
            }
            if (now >= process.nextRequest) {
                process.nextRequest = now + RequestInterval;
                needTargets(process);
            }
        }
    }

    // Tells a process what the members' gossip has brought, and the others what it has.
    void gossip(std::size_t index)
    {
        Process &process = *m_processes[index];
        if (process.isCut) {
            return;
        }
        process.gossipedVersion = versionOf(process);
        std::uint64_t newest = 0;
        for (const auto &other : m_processes) {
            newest = std::max(newest, other->gossipedVersion);
        }
        process.follower->noteVersionElsewhere(newest);
    }

    // Returns the others as a process knows them.
    std::vector<Member> membersFor(std::size_t index) const
    {
        std::vector<Member> members;
        for (std::size_t other = 0; other < size(); ++other) {
            Member member;
            member.incarnation = other + 1;
            member.applied = m_processes[other]->gossipedVersion;
            member.status = seemsAlive(index) && seemsAlive(other) ? MemberStatus::Alive : MemberStatus::Dead;
            members.push_back(member);
        }
        return members;
    }

    // Returns the processes that callers are named: the first of each failure domain.
    std::vector<Member> entriesFor(std::size_t index) const
    {
        std::vector<Member> members = membersFor(index);
        std::vector<Member> entries;
        for (std::size_t begin = 0; begin < size(); begin += m_plan.perDomain) {
            const auto first = members.begin() + static_cast<std::ptrdiff_t>(begin);
            const auto last = first + static_cast<std::ptrdiff_t>(m_plan.perDomain);
            const auto alive = std::find_if(first, last, [](const Member &member) {
                return member.status == MemberStatus::Alive;
            });
            if (alive != last) {
                entries.push_back(*alive);
            }
        }
        return entries;
    }

    // Returns whom a process asks for news, itself if nobody.
    std::size_t peerFor(std::size_t index, const PeerNewsRequest &request)
    {
        const Process &process = *m_processes[index];
        const Instant now = Clock::now();
        const std::vector<Member> members = membersFor(index);
        const std::vector<Member> entries = entriesFor(index);
        std::optional<Member> chosen;
        if (request.wantsTargets) {
            chosen = choosePeerForTargetList(entries, members, index + 1, process.withoutList, now, m_random);
        } else {
            const std::vector<Member> &candidates = chance(0.5) ? members : entries;
            chosen = choosePeerForUpdate(candidates, index + 1, request.version, process.silentPeers, now, m_random);
        }
        return chosen ? static_cast<std::size_t>(chosen->incarnation - 1) : index;
    }

    boost::asio::awaitable<Result<PeerNews>> askPeer(std::size_t index, PeerNewsRequest request)
    {
        const std::size_t peer = peerFor(index, request);
        const Result<PeerNews> news = co_await ask(index, peer, request, request.wantsTargets ? ListLimit : PeerLimit);
        if (request.wantsTargets && news && !news->upToDate && !readsFirstList(*news)) {
            m_processes[index]->withoutList.note(peer + 1, Clock::now());
        }
        co_return news;
    }

    void needTargets(Process &process)
    {
        NewsFollower *follower = process.follower.get();
        const std::function<DataAwaitable<void>()> ask = [follower]() -> DataAwaitable<void> {
            co_await follower->needTargets();
        };
        boost::asio::co_spawn(m_context.get_executor(), ask, boost::asio::detached);
    }

    // Tells the processes of the same failure domain that there are news.
    void tellNear(std::size_t index, std::uint64_t version)
    {
        const std::size_t begin = domainOf(index) * m_plan.perDomain;
        for (std::size_t other = begin; other < begin + m_plan.perDomain && other < size(); ++other) {
            if (other != index && areConnected(index, other) && !chance(m_plan.lostHints)) {
                m_processes[other]->follower->noteNewsElsewhere(version);
            }
        }
    }

    boost::asio::awaitable<Result<PeerNews>> ask(std::size_t from,
                                                 std::size_t to,
                                                 PeerNewsRequest request,
                                                 Duration limit)
    {
        if (from == to) {
            co_return failure(ErrorKind::PeerLost, "nobody to ask");
        }
        if (!areConnected(from, to)) {
            co_await pauseFor(m_context, limit);
            m_processes[from]->silentPeers.note(to + 1, Clock::now());
            m_processes[from]->withoutList.note(to + 1, Clock::now());
            co_return failure(ErrorKind::PeerLost, "no answer");
        }
        co_await pauseFor(m_context, PeerDelay);
        PeerNews news = m_processes[to]->follower->answerPeer(request);
        co_await pauseFor(m_context, PeerDelay);
        co_return news;
    }

    KeyedStore storeOf(std::size_t index)
    {
        const std::shared_ptr<Life> life = m_processes[index]->life;
        KeyedStore store;
        store.read = [this, index, life](KeyedTopic topic, Offset from, Millis wait) {
            return read(index, *life, topic, from, wait);
        };
        store.newest = [this, index, life](KeyedTopic topic) {
            return newest(index, *life, topic);
        };
        return store;
    }

    StoreAccess accessOf(std::size_t index, const Life &life) const
    {
        return life.alive ? m_processes[index]->access : StoreAccess::Refused;
    }

    // A connection that goes silent while the call waits for records is noticed by its keepalive probes.
    boost::asio::awaitable<Result<KeyedPage>> read(
        std::size_t index, const Life &life, KeyedTopic topic, Offset from, Millis wait)
    {
        const Instant waitsUntil = Clock::now() + wait;
        const Duration silenceLimit = wait.count() > 0 ? KeepaliveLimit : ReadLimit;
        Duration silence {};
        co_await pauseFor(m_context, StoreDelay);
        while (accessOf(index, life) != StoreAccess::Refused && silence < silenceLimit) {
            if (accessOf(index, life) == StoreAccess::Served) {
                const Result<KeyedPage> page = co_await m_store.access().read(topic, from, Millis(0));
                if (!page->records.empty() || page->historyGone || Clock::now() >= waitsUntil) {
                    co_return page;
                }
            } else {
                silence += StoreDelay;
            }
            co_await pauseFor(m_context, StoreDelay);
        }
        co_return failure(ErrorKind::PlatformUnavailable, "turned away");
    }

    boost::asio::awaitable<Result<KeyedSnapshot>> newest(std::size_t index, const Life &life, KeyedTopic topic)
    {
        const bool isSilent = accessOf(index, life) == StoreAccess::Silent;
        co_await pauseFor(m_context, isSilent ? NewestLimit : StoreDelay);
        if (isSilent || accessOf(index, life) != StoreAccess::Served) {
            co_return failure(ErrorKind::PlatformUnavailable, "turned away");
        }
        co_return co_await m_store.access().newest(topic);
    }

    void startProcess(std::size_t index)
    {
        Process &process = *m_processes[index];
        const auto life = std::make_shared<Life>();
        process.life = life;
        process.disturbedAt = Clock::now();
        process.gossipedVersion = 0;
        NewsHooks hooks;
        hooks.configurationKey = "config";
        hooks.decodeRoutes = decodeRoutes;
        hooks.decodeTarget = decodeTarget;
        hooks.routesChanged = [this, index, life, last = std::uint64_t { 0 }](const RouteTablePtr &table) mutable {
            m_hasGoneBack = m_hasGoneBack || table->version < last;
            last = table->version;
            if (life->alive && readsConfiguration(index)) {
                tellNear(index, table->version);
            }
        };
        hooks.targetsRead = [](const TargetDirectory &, bool) {};
        hooks.askPeer = [this, index, life](PeerNewsRequest request) {
            return life->alive ? askPeer(index, request) : ask(index, index, request, {});
        };
        hooks.askReader = [this, index, life](PeerNewsRequest request) {
            const std::size_t reader = life->alive ? designatedReader(index) : index;
            const bool isSilent = m_processes[index]->silentPeers.contains(reader + 1, Clock::now());
            return ask(index, isSilent ? index : reader, request, ReaderLimit);
        };
        hooks.hasReader = [this, index, life] {
            return life->alive && designatedReader(index) != index;
        };
        hooks.readsConfiguration = [this, index, life] {
            return life->alive && readsConfiguration(index);
        };
        hooks.followersNear = [this] {
            return m_plan.perDomain;
        };
        hooks.storeChanged = [this, index, life](bool foundFirst) {
            if (foundFirst && life->alive) {
                tellNear(index, 0);
            } else {
                tellAsReader(index, *life, 0);
            }
        };
        hooks.listChanged = [this, index, life] {
            tellAsReader(index, *life, versionOf(*m_processes[index]));
        };
        const EventSink events = [](Event, std::initializer_list<EventField>) {};
        process.follower =
            std::make_unique<NewsFollower>(m_context, storeOf(index), m_settings, std::move(hooks), ++m_starts, events);
        process.follower->start();
    }

    void tellAsReader(std::size_t index, const Life &life, std::uint64_t version)
    {
        if (life.alive && designatedReader(index) == index) {
            tellNear(index, version);
        }
    }

    static Result<RouteTable> decodeRoutes(std::string_view bytes)
    {
        RouteTable table;
        std::from_chars(bytes.data(), bytes.data() + bytes.size(), table.version);
        return table;
    }

    static Result<AnnouncedTarget> decodeTarget(std::string_view id, std::string_view bytes)
    {
        AnnouncedTarget target;
        target.id = TargetName(std::string(id));
        std::from_chars(bytes.data(), bytes.data() + bytes.size(), target.sequence);
        target.draining = bytes.ends_with('d');
        return target;
    }

    NewsFleetPlan m_plan;
    std::mt19937_64 m_random;
    VirtualTime m_time;
    boost::asio::io_context m_context;
    FakeKeyedStore m_store;
    NewsSettings m_settings;
    std::vector<std::unique_ptr<NewsFollower>> m_retired; // their coroutines refer to them
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<std::pair<Instant, std::uint64_t>> m_confirmed;
    std::map<std::size_t, Instant> m_leftAt; // of targets that drain
    std::uint64_t m_version = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_targetsStarted = 0;
    Incarnation m_starts = 0;
    bool m_hasGoneBack = false;
};

} // namespace mulberryplank
