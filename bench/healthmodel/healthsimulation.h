#pragma once

// Simulates one service on a virtual clock: scripted targets with 4 slots, and proxies that select targets with the
// policy classes of the product.

#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <set>

#include "faultdetector.h"
#include "mulberryplank/policy/concurrencylimit.h"
#include "mulberryplank/policy/targetchooser.h"
#include "scenario.h"

namespace healthmodel
{

inline constexpr std::size_t Proxies = 6;
inline constexpr std::uint32_t Slots = 4;

struct HealthSimulationSettings {
    ServiceModel service;
    Fault fault;
    FaultDetectorKind detector = FaultDetectorKind::Fast;
    std::vector<FaultDetectorKind> shadows; // detectors that observe the same traffic without effect
    std::uint64_t seed = 1;
    Duration length = Seconds { 100 };
    double wavePeriod = 300; // seconds; the load varies by half around its mean
    double reportLoss = 0.01;
    Duration firstDeploy = Seconds { 1'000'000 }; // replaces the targets one by one
    Duration deployEvery = Seconds { 21'600 };
    // Called for each event of the active detectors, with the seconds since the start. May be empty.
    std::function<void(double, std::size_t proxy, const HealthEvent &)> onEvent = {};
};

struct HealthSimulationResult {
    double requests = 0;
    double harmed = 0; // by the fault
    double harmedOnTrial = 0; // of these, by targets on trial
    double unserved = 0; // no target could take the request
    double sheds = 0;
    std::vector<double> detection; // seconds from onset, per target with a fault; negative if a proxy never detected it
    double floorViolations = 0; // ticks with too few targets left in the union of all proxies' views
    double falseEjections = 0; // of a healthy target, by any proxy; counted once a minute and target
    double allSlowEvents = 0;
    std::vector<double> shadowFalseEjections;
    std::vector<double> peaks; // highest decisive suspicion, per excursion of a healthy target
};

class HealthSimulation
{
public:
    explicit HealthSimulation(HealthSimulationSettings settings)
        : m_settings(std::move(settings))
        , m_random(m_settings.seed)
        , m_targets(m_settings.service.targets)
    {
        std::uniform_real_distribution<double> speed(0.9, 1.1);
        for (std::size_t index = 0; index < m_targets.size(); ++index) {
            m_targets[index].speed = speed(m_random);
            m_targets[index].hasFault = index < m_settings.fault.faultyTargets;
            m_targets[index].hadFault = m_targets[index].hasFault;
        }
        std::vector<PeerId> all;
        for (std::size_t index = 0; index < Proxies; ++index) {
            all.push_back({ VmName { "vm" + std::to_string(index) }, index + 1 });
        }
        m_proxies.resize(Proxies);
        for (std::size_t index = 0; index < Proxies; ++index) {
            Proxy &proxy = m_proxies[index];
            proxy.id = all[index];
            std::vector<PeerId> peers = all;
            peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
            FaultDetectorSettings detector {
                all[index], peers, m_targets.size(), m_settings.service.floorShare, m_settings.seed * 31 + index
            };
            proxy.detector = makeFaultDetector(m_settings.detector, detector);
            detector.active = false;
            for (const FaultDetectorKind kind : m_settings.shadows) {
                proxy.shadows.push_back(makeFaultDetector(kind, detector));
            }
            for (std::size_t target = 0; target < m_targets.size(); ++target) {
                proxy.limits.emplace_back(maxInFlight(Slots, Proxies));
            }
            proxy.startTimes.resize(m_targets.size());
            proxy.loads.resize(m_targets.size());
            proxy.detectedAt.assign(m_targets.size(), -1);
        }
        m_lastFalseEjection.resize((1 + m_settings.shadows.size()) * m_targets.size(), -1e9);
        m_currentPeak.resize(m_targets.size());
        m_result.shadowFalseEjections.resize(m_settings.shadows.size());
    }

    HealthSimulationResult run()
    {
        for (std::size_t index = 0; index < Proxies; ++index) {
            push(Millis { 100 } + Millis { 16 } * index, Kind::Tick, static_cast<std::uint32_t>(index));
        }
        push(Millis { 1 }, Kind::Arrival, 0);
        for (std::uint32_t index = 0; index < m_targets.size(); ++index) {
            push(nextPauseTime(), Kind::Pause, index);
            push(m_settings.firstDeploy + DeployStep * index, Kind::Leave, index);
        }
        while (!m_events.empty() && m_events.top().at < m_settings.length) {
            const SimulationEvent event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        finish();
        return std::move(m_result);
    }

private:
    enum class Kind : std::uint8_t {
        Arrival,
        Done,
        Tick,
        Report,
        Pause,
        Leave,
        Replace,
    };

    struct SimulationEvent {
        Duration at {};
        std::uint32_t argument = 0;
        Kind kind = Kind::Arrival;

        bool operator<(const SimulationEvent &other) const
        {
            return at > other.at;
        }
    };

    struct Request {
        std::uint32_t proxy = 0;
        std::uint32_t target = 0;
        std::uint16_t route = 0;
        std::uint8_t tries = 0;
        bool holdsSlot = false;
        AttemptResult result = AttemptResult::Success;
        Duration start {};
    };

    struct Load {
        std::optional<std::uint32_t> reported;
        Duration at {};
    };

    struct Proxy {
        PeerId id;
        std::unique_ptr<FaultDetector> detector;
        std::vector<std::unique_ptr<FaultDetector>> shadows;
        std::vector<ConcurrencyLimit> limits;
        std::vector<std::vector<Duration>> startTimes; // start of each request in flight, per target
        std::vector<Load> loads;
        std::vector<double> detectedAt;
        Duration lastReport = Seconds { -10 };
    };

    struct Target {
        double speed = 1;
        bool hasFault = false;
        bool hadFault = false;
        std::uint32_t busySlots = 0;
        Duration pausedUntil {};
        Duration coldUntil {};
        bool leaving = false;
    };

    struct Message {
        std::uint32_t to = 0;
        std::uint32_t from = 0;
        EvidenceReport report;
    };

    static constexpr Duration DeployStep = Seconds { 20 };
    static constexpr Duration DrainTime = Seconds { 5 };
    static constexpr Duration ColdTime = Seconds { 8 };
    static constexpr double ColdFactor = 3;

    static Instant instant(Duration at)
    {
        return Instant {} + at;
    }

    void push(Duration at, Kind kind, std::uint32_t argument)
    {
        m_events.push({ at, argument, kind });
    }

    double uniform()
    {
        return std::generate_canonical<double, 53>(m_random);
    }

    Duration nextPauseTime()
    {
        constexpr double MeanSeconds = 600;
        return m_now + fromSeconds(-std::log(1 - uniform()) * MeanSeconds);
    }

    void handle(const SimulationEvent &event)
    {
        switch (event.kind) {
        case Kind::Arrival:
            arrive();
            break;
        case Kind::Done:
            done(event.argument);
            break;
        case Kind::Tick:
            tick(event.argument);
            break;
        case Kind::Report:
            receive(event.argument);
            break;
        case Kind::Pause:
            // A pause of the whole process, for instance by garbage collection. It occurs in healthy targets too.
            m_targets[event.argument].pausedUntil = m_now + fromSeconds(0.1 + 0.3 * uniform());
            push(nextPauseTime(), Kind::Pause, event.argument);
            break;
        case Kind::Leave:
            leave(event.argument);
            break;
        case Kind::Replace:
            replace(event.argument);
            break;
        }
    }

    void leave(std::uint32_t index)
    {
        m_targets[index].leaving = true;
        for (Proxy &proxy : m_proxies) {
            proxy.detector->setLeaving(index);
        }
        push(m_now + DrainTime, Kind::Replace, index);
        push(m_now + m_settings.deployEvery, Kind::Leave, index);
    }

    void replace(std::uint32_t index)
    {
        m_targets[index].leaving = false;
        m_targets[index].hasFault = false;
        m_targets[index].coldUntil = m_now + ColdTime;
        for (Proxy &proxy : m_proxies) {
            proxy.detector->replace(index, instant(m_now));
            for (const auto &shadow : proxy.shadows) {
                shadow->replace(index, instant(m_now));
            }
        }
    }

    void arrive()
    {
        const double wave = 1 + 0.5 * std::sin(2 * M_PI * toSeconds(m_now) / m_settings.wavePeriod);
        const double rate = m_settings.service.requestsPerSecond * wave;
        push(m_now + fromSeconds(-std::log(1 - uniform()) / rate), Kind::Arrival, 0);
        ++m_result.requests;
        // Callers aren't evenly distributed: the most loaded proxy gets about three times the traffic of the
        // least loaded one.
        const double pick = uniform();
        const auto proxy = static_cast<std::uint32_t>(std::pow(pick, 1.5) * Proxies);
        double route = uniform();
        std::uint16_t index = 0;
        while (index + 1U < Routes.size() && route >= Routes[index].share) {
            route -= Routes[index].share;
            ++index;
        }
        send(proxy, index, 0, {});
    }

    void send(std::uint32_t proxyIndex, std::uint16_t route, std::uint8_t tries, std::vector<TargetIndex> excluded)
    {
        Proxy &proxy = m_proxies[proxyIndex];
        m_views.clear();
        for (std::uint32_t index = 0; index < m_targets.size(); ++index) {
            m_views.push_back({ index,
                                proxy.detector->weight(index),
                                proxy.detector->phase(index),
                                static_cast<std::uint32_t>(proxy.startTimes[index].size()),
                                proxy.limits[index].limit(instant(m_now)),
                                proxy.loads[index].reported,
                                m_now - proxy.loads[index].at,
                                FailureDomain {},
                                proxy.detector->expectedLatency(index) });
        }
        ChooseRequest request { Routes[route].idempotent, FailureDomain {}, excluded };
        const std::optional<TargetIndex> chosen = choose(m_views, request, m_random);
        if (!chosen) {
            ++m_result.unserved;
            return;
        }
        Target &target = m_targets[*chosen];
        if (target.busySlots >= Slots) {
            shed(proxyIndex, *chosen, route, tries, std::move(excluded));
            return;
        }
        start(proxyIndex, *chosen, route);
    }

    void shed(std::uint32_t proxyIndex,
              TargetIndex chosen,
              std::uint16_t route,
              std::uint8_t tries,
              std::vector<TargetIndex> excluded)
    {
        constexpr std::uint8_t MaxTries = 3;
        Proxy &proxy = m_proxies[proxyIndex];
        ++m_result.sheds;
        proxy.limits[chosen].shed(Millis { 20 }, instant(m_now));
        observe(proxy, { chosen, route, AttemptResult::Shed, Millis { 2 } });
        if (tries + 1 < MaxTries) {
            excluded.push_back(chosen);
            send(proxyIndex, route, static_cast<std::uint8_t>(tries + 1), std::move(excluded));
        } else {
            ++m_result.unserved;
        }
    }

    bool isFaultActive(const Target &target, std::uint32_t proxy, std::uint16_t route) const
    {
        const Fault &fault = m_settings.fault;
        if (!target.hasFault || m_now < fault.onset) {
            return false;
        }
        if ((fault.onlyRoute >= 0 && fault.onlyRoute != route)
            || (fault.onlyProxy >= 0 && static_cast<std::uint32_t>(fault.onlyProxy) != proxy)) {
            return false;
        }
        return fault.flapPeriod == Duration {} || (m_now - fault.onset) % fault.flapPeriod < fault.flapPeriod / 2;
    }

    double serviceSeconds(const Target &target, std::uint16_t route)
    {
        constexpr double Sigma = 0.7;
        constexpr double TailShare = 0.01;
        constexpr double TailPower = 1.5;
        constexpr double MaxTailFactor = 50;
        double factor = std::exp(Sigma * m_normal(m_random));
        if (uniform() < TailShare) {
            factor *= std::min(MaxTailFactor, 2 * std::pow(1 - uniform(), -1 / TailPower));
        }
        const double cold = m_now < target.coldUntil ? ColdFactor : 1;
        return m_settings.service.medianSeconds * Routes[route].factor * target.speed * factor * cold;
    }

    void start(std::uint32_t proxyIndex, TargetIndex index, std::uint16_t route)
    {
        constexpr double TimeoutSeconds = 10;
        constexpr double HealthyErrors = 0.001;
        constexpr double HealthyTruncated = 0.00002;
        Proxy &proxy = m_proxies[proxyIndex];
        Target &target = m_targets[index];
        const Fault &fault = m_settings.fault;
        const bool hasFault = isFaultActive(target, proxyIndex, route);
        Request request { proxyIndex, index, route, 0, true, AttemptResult::Success, m_now };
        double seconds = serviceSeconds(target, route);
        if (target.pausedUntil > m_now) {
            seconds += toSeconds(target.pausedUntil - m_now);
        }
        const double draw = uniform();
        bool harmed = false;
        if (draw < HealthyErrors) {
            request.result = AttemptResult::ServerError;
        } else if (draw < HealthyErrors + HealthyTruncated) {
            request.result = AttemptResult::Truncated;
        }
        if (hasFault) {
            seconds = fault.hangs ? TimeoutSeconds : seconds * fault.slowFactor;
            harmed = fault.hangs || fault.slowFactor > 1;
            const double kind = uniform();
            if (kind < fault.errorShare) {
                request.result = AttemptResult::ServerError;
            } else if (kind < fault.errorShare + fault.truncatedShare) {
                request.result = AttemptResult::Truncated;
            } else if (kind < fault.errorShare + fault.truncatedShare + fault.wrongBodyShare) {
                request.result = AttemptResult::Mismatched;
            }
            harmed = harmed || kind < fault.errorShare + fault.truncatedShare + fault.wrongBodyShare;
        }
        if (seconds >= TimeoutSeconds) {
            seconds = TimeoutSeconds;
            request.result = AttemptResult::Timeout;
        }
        m_result.harmed += harmed ? 1 : 0;
        m_result.harmedOnTrial += harmed && proxy.detector->phase(index) == TargetPhase::Trial ? 1 : 0;
        ++target.busySlots;
        proxy.startTimes[index].push_back(m_now);
        std::uint32_t slot = 0;
        if (m_free.empty()) {
            slot = static_cast<std::uint32_t>(m_requests.size());
            m_requests.push_back(request);
        } else {
            slot = m_free.back();
            m_free.pop_back();
            m_requests[slot] = request;
        }
        push(m_now + fromSeconds(seconds), Kind::Done, slot);
    }

    void done(std::uint32_t slot)
    {
        const Request request = m_requests[slot];
        m_free.push_back(slot);
        Proxy &proxy = m_proxies[request.proxy];
        Target &target = m_targets[request.target];
        --target.busySlots;
        std::vector<Duration> &startTimes = proxy.startTimes[request.target];
        const auto inFlight = static_cast<std::uint32_t>(startTimes.size());
        startTimes.erase(std::find(startTimes.begin(), startTimes.end(), request.start));
        const Duration latency = m_now - request.start;
        proxy.limits[request.target].onResponse(inFlight, latency, Duration {});
        const bool zeroLoad = m_settings.fault.reportsZeroLoad && target.hasFault;
        proxy.loads[request.target] = { zeroLoad ? 0 : target.busySlots, m_now };
        observe(proxy, { request.target, request.route, request.result, latency });
    }

    void observe(Proxy &proxy, const Attempt &attempt)
    {
        proxy.detector->observe(attempt, instant(m_now));
        for (const auto &shadow : proxy.shadows) {
            shadow->observe(attempt, instant(m_now));
        }
    }

    void tick(std::uint32_t index)
    {
        Proxy &proxy = m_proxies[index];
        for (std::uint32_t target = 0; target < m_targets.size(); ++target) {
            const std::vector<Duration> &startTimes = proxy.startTimes[target];
            if (startTimes.empty()) {
                proxy.detector->observeOutstanding(target, Duration {}, 0, instant(m_now));
                continue;
            }
            const Duration oldest = m_now - *std::min_element(startTimes.begin(), startTimes.end());
            const auto count = std::count_if(startTimes.begin(), startTimes.end(), [&](Duration start) {
                return m_now - start >= oldest / 2;
            });
            proxy.detector->observeOutstanding(target, oldest, static_cast<std::uint32_t>(count), instant(m_now));
        }
        proxy.detector->tick(instant(m_now));
        for (const auto &shadow : proxy.shadows) {
            shadow->tick(instant(m_now));
        }
        sendReports(index);
        recordDetections(index);
        push(m_now + Millis { 100 }, Kind::Tick, index);
    }

    void sendReports(std::uint32_t index)
    {
        Proxy &proxy = m_proxies[index];
        ServiceHealth *health = proxy.detector->health();
        if (health == nullptr || m_now - proxy.lastReport < health->reportInterval()) {
            return;
        }
        proxy.lastReport = m_now;
        const EvidenceReport report = health->report(instant(m_now));
        for (std::uint32_t to = 0; to < Proxies; ++to) {
            if (to != index && uniform() >= m_settings.reportLoss) {
                m_messages.push({ to, index, report });
                push(m_now + Millis { 2 }, Kind::Report, 0);
            }
        }
    }

    void receive(std::uint32_t)
    {
        // All messages have the same delay, so they arrive in the order in which they were sent.
        const Message message = std::move(m_messages.front());
        m_messages.pop();
        m_proxies[message.to].detector->health()->merge(m_proxies[message.from].id, message.report, instant(m_now));
        sendReports(message.to);
    }

    static bool isOutOfService(const FaultDetector &detector, std::uint32_t target)
    {
        const TargetPhase phase = detector.phase(target);
        return phase == TargetPhase::Ejected || phase == TargetPhase::Trial;
    }

    void recordDetections(std::uint32_t index)
    {
        Proxy &proxy = m_proxies[index];
        const bool faultStarted = m_now >= m_settings.fault.onset;
        for (std::uint32_t target = 0; target < m_targets.size(); ++target) {
            const bool outOfService = isOutOfService(*proxy.detector, target);
            if (outOfService && m_targets[target].hasFault && faultStarted && proxy.detectedAt[target] < 0) {
                proxy.detectedAt[target] = toSeconds(m_now - m_settings.fault.onset);
            }
            if (outOfService && !m_targets[target].hadFault) {
                countFalseEjection(0, target, m_result.falseEjections);
            }
            for (std::size_t shadow = 0; shadow < proxy.shadows.size(); ++shadow) {
                if (isOutOfService(*proxy.shadows[shadow], target) && !m_targets[target].hadFault) {
                    countFalseEjection(1 + shadow, target, m_result.shadowFalseEjections[shadow]);
                }
            }
        }
        if (index == 0) {
            checkFloor();
            recordPeaks();
        }
        if (ServiceHealth *health = proxy.detector->health()) {
            for (const HealthEvent &event : health->takeEvents()) {
                m_result.allSlowEvents += event.event == Event::AllSlow ? 1 : 0;
                if (m_settings.onEvent) {
                    m_settings.onEvent(toSeconds(m_now), index, event);
                }
            }
        }
    }

    // Ejections of the same target by several proxies at about the same time count as one false ejection.
    void countFalseEjection(std::size_t detector, std::uint32_t target, double &count)
    {
        double &last = m_lastFalseEjection[detector * m_targets.size() + target];
        if (toSeconds(m_now) - last > 60) {
            ++count;
        }
        last = toSeconds(m_now);
    }

    void checkFloor()
    {
        const std::size_t floor = floorOf(m_targets.size(), m_settings.service.floorShare, 1);
        std::size_t inService = 0;
        std::size_t ejected = 0;
        for (std::uint32_t target = 0; target < m_targets.size(); ++target) {
            const bool outOfService = std::any_of(m_proxies.begin(), m_proxies.end(), [target](const Proxy &proxy) {
                return isOutOfService(*proxy.detector, target);
            });
            ejected += outOfService ? 1 : 0;
            inService += outOfService || m_targets[target].leaving || m_now < m_targets[target].coldUntil ? 0 : 1;
        }
        m_result.floorViolations += ejected > 0 && inService < floor ? 1 : 0;
    }

    // Records the peak of each excursion of a healthy target's joint suspicion. The rate of false ejections at any
    // threshold follows from the peaks.
    void recordPeaks()
    {
        const ServiceHealth *health = m_proxies[0].detector->health();
        if (health == nullptr || m_settings.fault.kind != FaultKind::None) {
            return;
        }
        constexpr double MinPeak = 4;
        const std::vector<TargetHealthView> views = health->views();
        for (const TargetHealthView &view : views) {
            const std::size_t target = std::stoul(view.target.value().substr(1));
            const double height = view.decisive;
            if (height > MinPeak) {
                m_currentPeak[target] = std::max(m_currentPeak[target], height);
            } else if (m_currentPeak[target] > 0) {
                m_result.peaks.push_back(m_currentPeak[target]);
                m_currentPeak[target] = 0;
            }
        }
    }

    void finish()
    {
        for (std::uint32_t target = 0; target < m_targets.size(); ++target) {
            if (!m_targets[target].hadFault) {
                continue;
            }
            double last = 0;
            for (std::uint32_t proxy = 0; proxy < Proxies; ++proxy) {
                const int only = m_settings.fault.onlyProxy;
                if (only >= 0 && static_cast<std::uint32_t>(only) != proxy) {
                    continue;
                }
                const double at = m_proxies[proxy].detectedAt[target];
                last = at < 0 || last < 0 ? -1 : std::max(last, at);
            }
            m_result.detection.push_back(last);
        }
    }

    HealthSimulationSettings m_settings;
    std::mt19937_64 m_random;
    std::normal_distribution<double> m_normal;
    std::vector<Target> m_targets;
    std::vector<Proxy> m_proxies;
    std::vector<Request> m_requests;
    std::vector<std::uint32_t> m_free;
    std::vector<TargetView> m_views;
    std::queue<Message> m_messages;
    std::priority_queue<SimulationEvent> m_events;
    std::vector<double> m_lastFalseEjection;
    std::vector<double> m_currentPeak;
    Duration m_now {};
    HealthSimulationResult m_result;
};

} // namespace healthmodel
