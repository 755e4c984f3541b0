#include "mulberryplank/app/csvfile.h"

#include <fstream>
#include <sstream>

#include <csv.h>

namespace mulberryplank
{

namespace internal
{

namespace
{

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

// Owns libcsv's parser and collects what it hands out.
class CsvReader
{
public:
    explicit CsvReader(char delimiter)
    {
        csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI);
        csv_set_delim(&m_parser, static_cast<unsigned char>(delimiter));
    }

    ~CsvReader()
    {
        csv_free(&m_parser);
    }

    CsvReader(const CsvReader &) = delete;
    CsvReader &operator=(const CsvReader &) = delete;

    // Reads one line of the file, with its line ending. Returns false if it isn't CSV.
    bool readLine(std::string_view line)
    {
        ++m_line;
        return csv_parse(&m_parser, line.data(), line.size(), onField, onRecord, this) == line.size();
    }

    // Ends the file. Returns false if a quoted field is still open.
    bool finish()
    {
        return csv_fini(&m_parser, onField, onRecord, this) == 0;
    }

    std::size_t line() const
    {
        return m_line;
    }

    std::vector<CsvRecord> takeRecords()
    {
        return std::move(m_records);
    }

private:
    static void onField(void *text, std::size_t size, void *self)
    {
        auto *reader = static_cast<CsvReader *>(self);
        reader->m_current.fields.emplace_back(static_cast<const char *>(text), size);
    }

    static void onRecord(int, void *self)
    {
        auto *reader = static_cast<CsvReader *>(self);
        reader->m_current.line = reader->m_line;
        reader->m_records.push_back(std::move(reader->m_current));
        reader->m_current = {};
    }

    csv_parser m_parser {};
    std::size_t m_line = 0;
    CsvRecord m_current;
    std::vector<CsvRecord> m_records;
};

char detectDelimiter(std::string_view heading)
{
    char best = ',';
    for (const char candidate : { ';', '\t' }) {
        if (std::count(heading.begin(), heading.end(), candidate) > std::count(heading.begin(), heading.end(), best)) {
            best = candidate;
        }
    }
    return best;
}

std::string formatLineProblem(const std::string &name, std::size_t line, const std::string &problem)
{
    return name + " line " + std::to_string(line) + ": " + problem;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string joinNames(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

} // namespace

} // namespace internal

Result<CsvFile> parseCsv(const std::string &name, std::string_view bytes)
{
    if (bytes.starts_with(internal::ByteOrderMark)) {
        bytes.remove_prefix(internal::ByteOrderMark.size());
    }
    internal::CsvReader reader(internal::detectDelimiter(bytes.substr(0, bytes.find('\n'))));
    while (!bytes.empty()) {
        const std::size_t length = std::min(bytes.find('\n'), bytes.size() - 1) + 1;
        if (!reader.readLine(bytes.substr(0, length))) {
            return failure(ErrorKind::BadConfiguration,
                           internal::formatLineProblem(name, reader.line(), "a quote stands where none may stand"));
        }
        bytes.remove_prefix(length);
    }
    if (!reader.finish()) {
        return failure(ErrorKind::BadConfiguration,
                       internal::formatLineProblem(name, reader.line(), "a quoted field is not closed"));
    }
    CsvFile file { name, {}, reader.takeRecords() };
    if (file.records.empty()) {
        return failure(ErrorKind::BadConfiguration, name + ": has no heading");
    }
    file.headings = file.records.front().fields;
    file.records.erase(file.records.begin());
    return file;
}

Result<std::string> readWholeFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file) {
        return failure(ErrorKind::BadConfiguration, path + ": cannot be read");
    }
    return content.str();
}

std::vector<std::string> findHeadingProblems(const CsvFile &file,
                                             const std::vector<std::string> &known,
                                             const std::vector<std::string> &required,
                                             bool secret)
{
    std::vector<std::string> problems;
    for (const std::string &heading : file.headings) {
        if (!internal::contains(known, heading)) {
            const std::string shown = secret ? RedactedText : heading;
            problems.push_back(internal::formatLineProblem(
                file.name, 1, "column '" + shown + "' is not allowed; allowed: " + internal::joinNames(known)));
        }
        if (std::count(file.headings.begin(), file.headings.end(), heading) > 1 && internal::contains(known, heading)) {
            problems.push_back(
                internal::formatLineProblem(file.name, 1, "column '" + heading + "' stands there twice"));
        }
    }
    for (const std::string &heading : required) {
        if (!internal::contains(file.headings, heading)) {
            problems.push_back(internal::formatLineProblem(file.name, 1, "column '" + heading + "' is missing"));
        }
    }
    return problems;
}

std::string formatFieldProblem(const CsvFile &file,
                               const CsvRecord &record,
                               const std::string &heading,
                               const std::string &value,
                               const std::string &allowed)
{
    return internal::formatLineProblem(
        file.name, record.line, "column " + heading + ": '" + value + "' is not allowed; allowed: " + allowed);
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += (text.empty() ? "" : "\n") + line;
    }
    return text;
}

} // namespace mulberryplank
