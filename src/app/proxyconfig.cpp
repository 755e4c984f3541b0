#include "proxyprocess.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

#include "mulberryplank/app/statejson.h"
#include "mulberryplank/policy/logposition.h"

namespace mulberryplank
{

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace internal
{

constexpr std::size_t PageSize = 256;
constexpr Millis LogWait { 500 };
constexpr Duration LogPause = Millis(500);
constexpr Duration ReadBackInterval = Millis(10);

} // namespace internal

asio::awaitable<void> ProxyProcess::followLog()
{
    asio::steady_timer pause(m_control);
    while (true) {
        const ConfigState::Position position = m_config.position();
        Result<LogPage> page =
            co_await m_log.read(ConfigStream, verifyingOffset(position.applied), internal::PageSize, internal::LogWait);
        if (page.has_value() != m_logReachable) {
            m_logReachable = page.has_value();
            m_events(m_logReachable ? Event::PlatformBack : Event::PlatformDown,
                     { { "address", toString(m_settings.log) }, { "stream", ConfigStream } });
        }
        if (page) {
            const LogJudgement judgement = judgeLog(position.applied, position.last, std::move(*page));
            ConfigNews news;
            news.from = position.applied;
            news.before = position.last;
            for (const LogRecord &record : judgement.news) {
                news.records.push_back(record.data);
            }
            if (judgement.finding == LogFinding::News) {
                learn(news);
            }
            if (!m_callers.ready && judgement.finding == LogFinding::Current) {
                applyConfiguration();
                m_callers.ready = true;
                m_events(Event::ProcessReady,
                         { { "vm", m_settings.vm.value() }, { "offset", m_config.applied() }, { "source", "log" } });
            }
        }
        if (!page || page->records.empty()) {
            pause.expires_after(page ? Millis(50) : internal::LogPause);
            co_await pause.async_wait(asio::use_awaitable);
        }
    }
}

void ProxyProcess::learn(const ConfigNews &news)
{
    const Result<std::vector<EditOutcome>> outcomes = m_config.learn(news);
    if (!outcomes) {
        m_events(Event::RecordUnreadable,
                 { { "stream", ConfigStream }, { "offset", news.from }, { "detail", outcomes.error().detail } });
        return;
    }
    for (const EditOutcome &outcome : *outcomes) {
        if (outcome.status == EditStatus::Accepted) {
            m_events(Event::EditApplied, { { "edit", outcome.id.value() }, { "offset", outcome.offset } });
        } else if (outcome.status == EditStatus::Unreadable) {
            m_events(Event::RecordUnreadable,
                     { { "stream", ConfigStream }, { "offset", outcome.offset }, { "detail", outcome.detail } });
        } else {
            m_events(Event::EditRefused,
                     { { "edit", outcome.id.value() },
                       { "offset", outcome.offset },
                       { "status", std::string(toString(outcome.status)) },
                       { "detail", outcome.detail } });
        }
    }
    applyConfiguration();
}

// Gives every served service the configuration in force, and drops those that are gone.
void ProxyProcess::applyConfiguration()
{
    std::vector<ServiceName> names;
    m_config.read([&names](const ConfigTable &table) {
        for (const Service *service : table.services()) {
            names.push_back(service->name);
        }
    });
    std::map<ServiceName, ServiceViewPtr> configured;
    for (const ServiceName &name : names) {
        ServiceViewPtr view = m_config.service(name);
        if (!view) {
            continue;
        }
        configured[name] = view;
        const auto before = m_configured.find(name);
        if (before != m_configured.end() && before->second == view) {
            continue;
        }
        std::optional<ServedService> served = m_services.find(name);
        if (!served) {
            const std::uint64_t seed = m_incarnation ^ std::hash<ServiceName> {}(name);
            const PeerId self { m_settings.vm, m_incarnation };
            served = ServedService { new ServiceState(name, self, m_settings.failureDomain, seed, m_events), view };
        }
        std::vector<Row> rows;
        for (const auto &[account, row] : view->rows) {
            rows.push_back(row.row);
        }
        deliverAll(served->state->configure(view->service, view->targets, rows, Clock::now()));
        m_services.put(name, ServedService { served->state, view });
    }
    for (const auto &[name, view] : m_configured) {
        if (!configured.contains(name)) {
            m_services.remove(name);
        }
    }
    m_configured = std::move(configured);
}

// Appends the edit and waits until its outcome has been read back: only the log's order decides.
asio::awaitable<Result<EditOutcome>> ProxyProcess::submit(Edit edit, Duration timeout)
{
    const Instant deadline = Clock::now() + timeout;
    const std::string record = encodeEdit(edit);
    asio::steady_timer pause(m_control);
    bool appended = false;
    while (Clock::now() < deadline) {
        if (const std::optional<EditOutcome> outcome = m_config.outcomeOf(edit.id)) {
            co_return *outcome;
        }
        if (!appended) {
            // A lost answer is followed by another append of the same id: the fold counts it once.
            appended = (co_await m_log.append(ConfigStream, record)).has_value();
        }
        pause.expires_after(appended ? internal::ReadBackInterval : internal::LogPause);
        co_await pause.async_wait(asio::use_awaitable);
    }
    co_return failure(ErrorKind::PlatformUnavailable,
                      "not accepted as far as known; it is safe to repeat it under the same id");
}

std::optional<ServiceAccess> ProxyProcess::findService(const ServiceName &name) const
{
    std::optional<ServedService> served = m_services.find(name);
    if (!served) {
        return std::nullopt;
    }
    return ServiceAccess { std::move(served->state), std::move(served->config) };
}

Member ProxyProcess::self() const
{
    Member self;
    self.vm = m_settings.vm;
    self.incarnation = m_incarnation;
    self.peer = m_settings.peer;
    self.caller = m_settings.caller;
    self.failureDomain = m_settings.failureDomain;
    self.status = m_draining ? MemberStatus::Leaving : MemberStatus::Alive;
    self.applied = m_config.applied();
    self.ready = m_callers.ready;
    return self;
}

std::vector<Member> ProxyProcess::members() const
{
    return { self() };
}

Result<std::string> ProxyProcess::locate(const ServiceName &service, const AccountName &account) const
{
    if (!m_callers.ready) {
        return failure(ErrorKind::NotReady, "this process has no configuration yet");
    }
    const ServiceViewPtr view = m_config.service(service);
    if (!view || !view->rows.contains(account)) {
        return failure(ErrorKind::UnknownService, "no such service for this account");
    }
    boost::json::array addresses;
    for (const Member &member : members()) {
        boost::json::object address = toJson(member.caller);
        address["failure_domain"] = member.failureDomain.value();
        address["weight"] = 1;
        addresses.push_back(std::move(address));
    }
    const boost::json::object answer { { "service", service.value() },
                                       { "lifetime_ms", m_settings.locateLifetime.count() },
                                       { "addresses", std::move(addresses) } };
    return boost::json::serialize(answer) + "\n";
}

} // namespace mulberryplank
