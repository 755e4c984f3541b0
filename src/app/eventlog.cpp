#include "mulberryplank/app/eventlog.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "mulberryplank/app/linewriter.h"
#include "mulberryplank/base/eventfields.h"
#include "mulberryplank/net/clock.h"

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr const char *LineLayout = "%d{yyyy-MM-ddTHH:mm:ss.SSSZ}{GMT} %p %m%n";
constexpr const char *LoggerName = "mulberryplank";
constexpr std::string_view Withheld = "(withheld)";
constexpr std::array<std::string_view, 2> CredentialPrefixes { "Bearer ", "Basic " };

log4cxx::LevelPtr levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return log4cxx::Level::getDebug();
    case Severity::Info:
        return log4cxx::Level::getInfo();
    case Severity::Warning:
        return log4cxx::Level::getWarn();
    case Severity::Error:
        break;
    }
    return log4cxx::Level::getError();
}

void withholdAll(std::string &text, const std::string &secret)
{
    if (secret.empty()) {
        return;
    }
    for (std::size_t at = text.find(secret); at != std::string::npos; at = text.find(secret, at + Withheld.size())) {
        text.replace(at, secret.size(), Withheld);
    }
}

void withholdCredential(std::string &text, std::string_view prefix)
{
    for (std::size_t at = text.find(prefix); at != std::string::npos; at = text.find(prefix, at)) {
        at += prefix.size();
        const std::size_t end = std::min(text.find_first_of(" \t\r\n\"", at), text.size());
        text.replace(at, end - at, Withheld);
    }
}

std::string escape(char character)
{
    switch (character) {
    case '"':
        return "\\\"";
    case '\\':
        return "\\\\";
    case '\n':
        return "\\n";
    case '\r':
        return "\\r";
    default:
        break;
    }
    if (std::iscntrl(static_cast<unsigned char>(character)) == 0) {
        return { character };
    }
    std::array<char, 5> code {};
    std::snprintf(code.data(), code.size(), "\\x%02x", static_cast<unsigned>(static_cast<unsigned char>(character)));
    return code.data();
}

std::string quoteWhenNeeded(const std::string &value)
{
    const bool plain = std::all_of(value.begin(), value.end(), [](unsigned char character) {
        return character > ' ' && character != '"' && character != '=' && character != '\\' && character != 0x7f;
    });
    if (plain && !value.empty()) {
        return value;
    }
    std::string quoted = "\"";
    for (const char character : value) {
        quoted += escape(character);
    }
    return quoted + "\"";
}

std::string safeValue(Event event, const EventField &field, const std::vector<std::string> &secrets)
{
    const std::vector<std::string_view> &allowed = eventFields(event);
    if (std::find(allowed.begin(), allowed.end(), field.key) == allowed.end()) {
        return std::string(Withheld);
    }
    std::string value = field.value;
    for (const std::string &secret : secrets) {
        withholdAll(value, secret);
    }
    for (const std::string_view prefix : CredentialPrefixes) {
        withholdCredential(value, prefix);
    }
    return value;
}

} // namespace

} // namespace internal

// Writes log4cxx's lines to a descriptor without waiting for its reader.
class LineAppender : public log4cxx::AppenderSkeleton
{
public:
    LineAppender(log4cxx::LayoutPtr layout, int descriptor)
        : m_layout(std::move(layout))
        , m_writer(descriptor, {})
    {
    }

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override
    {
        log4cxx::LogString line;
        m_layout->format(line, event, pool);
        const bool important = event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn());
        m_writer.write(line, important, Clock::now());
    }

    std::uint64_t dropped() const
    {
        return m_writer.dropped();
    }

    void close() override
    {
    }

    bool requiresLayout() const override
    {
        return true;
    }

private:
    log4cxx::LayoutPtr m_layout;
    LineWriter m_writer;
};

struct EventLog::Private {
    std::vector<std::string> secrets;
    log4cxx::LoggerPtr logger;
    log4cxx::AppenderPtr appender;
    std::shared_ptr<LineAppender> lines; // the appender, where it may drop lines
};

EventLog::EventLog(const EventLogSettings &settings)
    : m_private(std::make_unique<Private>())
{
    m_private->secrets = settings.secrets;
    const auto layout = std::make_shared<log4cxx::PatternLayout>(internal::LineLayout);
    if (settings.descriptor) {
        m_private->lines = std::make_shared<LineAppender>(layout, *settings.descriptor);
        m_private->appender = m_private->lines;
    } else if (settings.file.empty()) {
        m_private->appender =
            std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    } else {
        m_private->appender = std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
    }
    m_private->logger = log4cxx::Logger::getLogger(internal::LoggerName);
    m_private->logger->setAdditivity(false);
    m_private->logger->setLevel(internal::levelOf(settings.threshold));
    m_private->logger->addAppender(m_private->appender);
}

EventLog::~EventLog()
{
    m_private->logger->removeAppender(m_private->appender);
}

void EventLog::write(Event event, std::initializer_list<EventField> fields)
{
    const log4cxx::LevelPtr level = internal::levelOf(eventInfo(event).severity);
    if (m_private->logger->isEnabledFor(level)) {
        m_private->logger->log(level, formatEvent(event, fields, m_private->secrets));
    }
}

std::uint64_t EventLog::linesDropped() const
{
    return m_private->lines ? m_private->lines->dropped() : 0;
}

EventSink EventLog::sink()
{
    return [this](Event event, std::initializer_list<EventField> fields) {
        write(event, fields);
    };
}

std::string formatEvent(Event event, std::initializer_list<EventField> fields, const std::vector<std::string> &secrets)
{
    const EventInfo &info = eventInfo(event);
    std::string line = std::to_string(static_cast<int>(event)) + " " + std::string(info.name);
    for (const EventField &field : fields) {
        line +=
            " " + std::string(field.key) + "=" + internal::quoteWhenNeeded(internal::safeValue(event, field, secrets));
    }
    return line;
}

} // namespace mulberryplank
