// The snapshot of a ConfigTable: lines of JSON, each an array that begins with what it holds. Items come in order of
// name, so that the same table gives the same bytes whatever way it came about.
#include <openssl/evp.h>

#include "configtableprivate.h"
#include "itemjson.h"

namespace mulberryplank
{

namespace internal
{

namespace json = boost::json;

constexpr std::uint64_t SnapshotFormat = 1;
constexpr const char *HeaderLine = "mulberryplank-snapshot";
constexpr const char *AccountLine = "a";
constexpr const char *ServiceLine = "s";
constexpr const char *TargetLine = "t"; // of the service above it
constexpr const char *RowLine = "r"; // of the service above it
constexpr const char *OutcomeLine = "e";
constexpr const char *EndLine = "end";

// Writes lines and counts them. The count ends the snapshot: a snapshot cut short would otherwise read as a smaller
// table, and items would silently be missing.
class LineWriter
{
public:
    explicit LineWriter(const std::function<void(std::string_view)> &sink)
        : m_sink(sink)
    {
    }

    void write(const json::array &line)
    {
        m_sink(json::serialize(line) + "\n");
        ++m_lines;
    }

    std::uint64_t lines() const
    {
        return m_lines;
    }

private:
    const std::function<void(std::string_view)> &m_sink;
    std::uint64_t m_lines = 0;
};

// Reads the fields of one line in order.
class LineReader
{
public:
    LineReader(std::string_view line, std::uint64_t number)
        : m_place("line " + std::to_string(number))
        , m_value(parseJson(line))
    {
        if (!m_value.is_array()) {
            throw FieldError(m_place + ": must be a list");
        }
    }

    std::string text()
    {
        const json::value &value = next();
        if (!value.is_string()) {
            fail("must be a text");
        }
        return { value.get_string().data(), value.get_string().size() };
    }

    template<typename Number>
    Number number()
    {
        boost::system::error_code error;
        const auto value = next().to_number<Number>(error);
        if (error) {
            fail("must be a number in range");
        }
        return value;
    }

    const json::value &next()
    {
        if (m_position == m_value.get_array().size()) {
            fail("is missing");
        }
        return m_value.get_array()[m_position++];
    }

    [[noreturn]] void fail(const std::string &rule) const
    {
        throw FieldError(m_place + ", field " + std::to_string(m_position) + ": " + rule);
    }

private:
    std::string m_place;
    json::value m_value;
    std::size_t m_position = 0;
};

SecretDigest readDigest(LineReader &line)
{
    const auto digest = digestFromHex(line.text());
    if (!digest) {
        line.fail("must be 64 hexadecimal digits");
    }
    return *digest;
}

Account readAccount(LineReader &line)
{
    Account account;
    account.name = AccountName(line.text());
    account.secretDigest = readDigest(line);
    account.version = line.number<Version>();
    return account;
}

Service readService(LineReader &line)
{
    FieldReader reader(line.next(), "service");
    return std::get<Service>(itemFromJson(reader, false));
}

Target readTarget(LineReader &line, const ServiceName &service)
{
    Target target;
    target.service = service;
    target.name = TargetName(line.text());
    target.host = line.text();
    target.port = line.number<std::uint16_t>();
    target.failureDomain = FailureDomain(line.text());
    target.version = line.number<Version>();
    return target;
}

Row readRow(LineReader &line, const ServiceName &service)
{
    Row row;
    row.service = service;
    row.account = AccountName(line.text());
    row.weight = line.number<std::uint32_t>();
    row.limits.requestsPerSecond = line.number<double>();
    row.limits.inFlight = line.number<std::uint32_t>();
    row.limits.queue = line.number<std::uint32_t>();
    row.version = line.number<Version>();
    return row;
}

EditOutcome readOutcome(LineReader &line)
{
    EditOutcome outcome;
    outcome.id = EditId(line.text());
    outcome.offset = line.number<Offset>();
    const auto status = editStatusFromString(line.text());
    if (!status) {
        line.fail("must be a status");
    }
    outcome.status = *status;
    outcome.detail = line.text();
    return outcome;
}

Offset readHeader(LineReader &line)
{
    if (line.text() != HeaderLine) {
        line.fail("must be a snapshot of mulberryplank");
    }
    if (line.number<std::uint64_t>() != SnapshotFormat) {
        line.fail("a snapshot of another format needs another mulberryplank");
    }
    return line.number<Offset>();
}

} // namespace internal

void ConfigTable::writeSnapshot(const std::function<void(std::string_view)> &sink) const
{
    using namespace internal;
    LineWriter writer(sink);
    writer.write({ HeaderLine, SnapshotFormat, m_d->next, toHex(m_d->lastRecord.data(), m_d->lastRecord.size()) });
    for (const Account *account : accounts()) {
        const std::string digest = toHex(account->secretDigest.data(), account->secretDigest.size());
        writer.write({ AccountLine, account->name.value(), digest, account->version });
    }
    for (const Service *service : services()) {
        writer.write({ ServiceLine, toJson(*service) });
        for (const Target *target : targetsOf(service->name)) {
            writer.write({ TargetLine,
                           target->name.value(),
                           target->host,
                           target->port,
                           target->failureDomain.value(),
                           target->version });
        }
        for (const Row &row : rowsOf(service->name)) {
            const Limits &limits = row.limits;
            writer.write({ RowLine,
                           row.account.value(),
                           row.weight,
                           limits.requestsPerSecond,
                           limits.inFlight,
                           limits.queue,
                           row.version });
        }
    }
    for (const EditId &id : m_d->decidedOrder) {
        const EditOutcome &outcome = m_d->decided.at(id);
        writer.write({ OutcomeLine, id.value(), outcome.offset, toString(outcome.status), outcome.detail });
    }
    writer.write({ EndLine, writer.lines() });
}

std::string ConfigTable::snapshot() const
{
    std::string bytes;
    writeSnapshot([&](std::string_view piece) {
        bytes += piece;
    });
    return bytes;
}

std::string ConfigTable::digest() const
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    writeSnapshot([&](std::string_view piece) {
        EVP_DigestUpdate(context.get(), piece.data(), piece.size());
    });
    SecretDigest sum {};
    EVP_DigestFinal_ex(context.get(), sum.data(), nullptr);
    return internal::toHex(sum.data(), sum.size());
}

namespace internal
{

// Builds a table from the lines of a snapshot.
class SnapshotReader
{
public:
    explicit SnapshotReader(ConfigStore &store)
        : m_store(store)
    {
    }

    // Takes one line after the first. Throws FieldError.
    void consume(std::string_view text, std::uint64_t number, std::vector<EditOutcome> &outcomes)
    {
        LineReader line(text, number);
        const std::string kind = line.text();
        if (kind == AccountLine) {
            add(line, readAccount(line));
        } else if (kind == ServiceLine) {
            Service service = readService(line);
            m_service = service.name;
            add(line, std::move(service));
        } else if (kind == TargetLine) {
            add(line, readTarget(line, m_service));
        } else if (kind == RowLine) {
            add(line, readRow(line, m_service));
        } else if (kind == OutcomeLine) {
            outcomes.push_back(readOutcome(line));
        } else if (kind == EndLine) {
            m_ended = line.number<std::uint64_t>() + 1 == number;
        } else {
            line.fail("no such kind of line");
        }
    }

    bool ended() const
    {
        return m_ended;
    }

private:
    void add(const LineReader &line, const ConfigItem &item)
    {
        const std::string reason = m_store.checkSet(item);
        if (!reason.empty()) {
            line.fail(itemLabel(item) + ": " + reason);
        }
        m_store.set(item);
    }

    ConfigStore &m_store;
    ServiceName m_service;
    bool m_ended = false;
};

} // namespace internal

namespace internal
{

// Cuts pieces that come one after the other into lines, whatever lines they were cut through.
class LineSplitter
{
public:
    using Line = std::function<void(std::string_view line)>;

    explicit LineSplitter(Line line)
        : m_line(std::move(line))
    {
    }

    void consume(std::string_view piece)
    {
        for (auto end = piece.find('\n'); end != std::string_view::npos; end = piece.find('\n')) {
            m_partialLine += piece.substr(0, end);
            m_line(m_partialLine);
            m_partialLine.clear();
            piece.remove_prefix(end + 1);
        }
        m_partialLine += piece;
    }

    // Passes on a last line without its end.
    void finish()
    {
        if (!m_partialLine.empty()) {
            m_line(m_partialLine);
        }
    }

private:
    Line m_line;
    std::string m_partialLine;
};

} // namespace internal

Result<ConfigTable> ConfigTable::fromSnapshot(std::string_view bytes)
{
    return readSnapshot([bytes](const PieceSink &consume) {
        consume(bytes);
    });
}

Result<ConfigTable> ConfigTable::fromSnapshot(std::vector<std::string> pieces)
{
    return readSnapshot([&pieces](const PieceSink &consume) {
        for (std::string &piece : pieces) {
            consume(piece);
            piece = std::string();
        }
    });
}

Result<ConfigTable> ConfigTable::readSnapshot(const std::function<void(const PieceSink &)> &source)
{
    ConfigTable table;
    std::vector<EditOutcome> outcomes;
    internal::SnapshotReader reader(table.m_d->store);
    std::uint64_t number = 0;
    bool hasTrailingLines = false;
    internal::LineSplitter lines([&](std::string_view line) {
        ++number;
        if (reader.ended()) {
            hasTrailingLines = true;
        } else if (number == 1) {
            internal::LineReader header(line, number);
            table.m_d->next = internal::readHeader(header);
            table.m_d->lastRecord = internal::readDigest(header);
        } else {
            reader.consume(line, number, outcomes);
        }
    });
    try {
        source([&lines](std::string_view piece) {
            lines.consume(piece);
        });
        lines.finish();
    } catch (const internal::FieldError &error) {
        return failure(ErrorKind::BadConfiguration, "snapshot: " + error.detail);
    }
    if (!reader.ended() || hasTrailingLines) {
        return failure(ErrorKind::BadConfiguration, "snapshot: cut short, or longer than it says");
    }
    for (const EditOutcome &outcome : outcomes) {
        table.m_d->remember(outcome);
    }
    return table;
}

} // namespace mulberryplank
