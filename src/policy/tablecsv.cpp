#include "mulberryplank/policy/tablecsv.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

#include <csv.h>

namespace mulberryplank
{

namespace internal
{

enum class Column : std::uint8_t {
    Account,
    Service,
    Weight,
    RequestsPerSecond,
    InFlight,
    Queue,
    Version,
};

constexpr std::array<std::string_view, 7> Headings { "account",   "service", "weight", "requests_per_second",
                                                     "in_flight", "queue",   "version" };

using Cells = std::vector<std::string>;

template<typename Number>
std::string textOf(Number number)
{
    std::array<char, 32> text {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), number);
    return { text.data(), end.ptr };
}

void writeLine(std::string &out, const Cells &cells)
{
    for (std::size_t index = 0; index < cells.size(); ++index) {
        const std::string &cell = cells[index];
        const std::size_t capacity = cell.size() * 2 + 2;
        std::string quoted(capacity, '\0');
        quoted.resize(csv_write(quoted.data(), capacity, cell.data(), cell.size()));
        const bool plain = quoted.size() == cell.size() + 2 && cell.find_first_of(",;\r\n ") == std::string::npos;
        out += (index == 0 ? "" : ",") + (plain ? cell : quoted);
    }
    out += "\r\n";
}

// Thrown and caught within this file only.
struct TableError {
    std::string detail;
};

// Takes the cells of the file line by line and turns them into rows.
class TableReader
{
public:
    explicit TableReader(char delimiter)
        : m_delimiter(delimiter)
    {
    }

    void readLine(std::size_t line, const Cells &cells)
    {
        if (m_columns.empty()) {
            readHeader(line, cells);
        } else {
            readRow(line, cells);
        }
    }

    std::vector<Row> rows() &&
    {
        if (m_columns.empty()) {
            throw TableError { "line 1: the header line is missing" };
        }
        return std::move(m_rows);
    }

private:
    void readHeader(std::size_t line, const Cells &cells)
    {
        for (const std::string &cell : cells) {
            const auto *heading = std::find(Headings.begin(), Headings.end(), cell);
            if (heading == Headings.end()) {
                fail(line, cell, "no such column", cell);
            }
            const auto column = static_cast<Column>(heading - Headings.begin());
            if (std::find(m_columns.begin(), m_columns.end(), column) != m_columns.end()) {
                fail(line, cell, "stands in the header line twice", cell);
            }
            m_columns.push_back(column);
        }
        for (std::size_t index = 0; index < Headings.size(); ++index) {
            if (std::find(m_columns.begin(), m_columns.end(), static_cast<Column>(index)) == m_columns.end()) {
                fail(line, std::string(Headings.at(index)), "the column is missing", "");
            }
        }
    }

    void readRow(std::size_t line, const Cells &cells)
    {
        if (cells.size() != m_columns.size()) {
            const std::string counts =
                std::to_string(cells.size()) + " cells where the header line has " + std::to_string(m_columns.size());
            throw TableError { "line " + std::to_string(line) + ": " + counts };
        }
        Row row;
        for (std::size_t index = 0; index < cells.size(); ++index) {
            readCell(line, m_columns[index], cells[index], row);
        }
        checkRow(line, row);
        m_rows.push_back(std::move(row));
    }

    void readCell(std::size_t line, Column column, const std::string &cell, Row &row)
    {
        switch (column) {
        case Column::Account:
            row.account = AccountName(cell);
            break;
        case Column::Service:
            row.service = ServiceName(cell);
            break;
        case Column::Weight:
            row.weight = number<std::uint32_t>(line, column, cell);
            break;
        case Column::RequestsPerSecond:
            row.limits.requestsPerSecond = number<double>(line, column, withDecimalPoint(cell));
            break;
        case Column::InFlight:
            row.limits.inFlight = number<std::uint32_t>(line, column, cell);
            break;
        case Column::Queue:
            row.limits.queue = number<std::uint32_t>(line, column, cell);
            break;
        case Column::Version:
            row.version = number<mulberryplank::Version>(line, column, cell);
            break;
        }
    }

    // Where a semicolon parts the cells, the comma is free to be the decimal mark.
    std::string withDecimalPoint(std::string cell) const
    {
        if (m_delimiter == ';') {
            std::replace(cell.begin(), cell.end(), ',', '.');
        }
        return cell;
    }

    template<typename Number>
    Number number(std::size_t line, Column column, const std::string &cell)
    {
        Number value {};
        const char *end = cell.data() + cell.size();
        const auto parsed = std::from_chars(cell.data(), end, value);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            fail(line, std::string(Headings.at(static_cast<std::size_t>(column))), "must be a number in range", cell);
        }
        return value;
    }

    // The rules for names and ranges are those of an edit.
    void checkRow(std::size_t line, const Row &row)
    {
        const std::string place = "line " + std::to_string(line) + ", ";
        if (const auto checked = checkEdit({ EditId("import"), { { row, false } } }); !checked) {
            const std::string &detail = checked.error().detail;
            throw TableError { place + detail.substr(detail.find('.') + 1) };
        }
        const auto [known, isNew] = m_lines.emplace(std::pair(row.account, row.service), line);
        if (!isNew) {
            throw TableError { place + itemLabel(row) + " stands on line " + std::to_string(known->second)
                               + " already" };
        }
    }

    [[noreturn]] static void fail(std::size_t line,
                                  const std::string &heading,
                                  const std::string &rule,
                                  const std::string &value)
    {
        throw TableError { "line " + std::to_string(line) + ", " + heading + ": " + rule + ", not \"" + value + "\"" };
    }

    char m_delimiter;
    std::vector<Column> m_columns;
    std::vector<Row> m_rows;
    std::map<std::pair<AccountName, ServiceName>, std::size_t> m_lines;
};

// Runs libcsv over the text, one line after the other, so that a error's line is known.
class CsvParser
{
public:
    explicit CsvParser(char delimiter)
    {
        csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL);
        csv_set_delim(&m_parser, static_cast<unsigned char>(delimiter));
    }
    ~CsvParser()
    {
        csv_free(&m_parser);
    }
    CsvParser(const CsvParser &) = delete;
    CsvParser &operator=(const CsvParser &) = delete;

    void run(std::string_view text, TableReader &reader)
    {
        std::size_t line = 0;
        while (!text.empty()) {
            const std::size_t size = std::min(text.find('\n'), text.size() - 1) + 1;
            ++line;
            if (csv_parse(&m_parser, text.data(), size, onCell, onLineEnd, this) != size) {
                throw TableError { "line " + std::to_string(line) + ": " + csv_strerror(csv_error(&m_parser)) };
            }
            text.remove_prefix(size);
            deliverLines(line, reader);
        }
        if (csv_fini(&m_parser, onCell, onLineEnd, this) != 0) {
            throw TableError { "line " + std::to_string(line) + ": a quoted cell doesn't end" };
        }
        deliverLines(line, reader);
    }

private:
    // libcsv is C: no exception may pass through it, so its calls only collect.
    static void onCell(void *data, std::size_t size, void *self)
    {
        static_cast<CsvParser *>(self)->m_cells.emplace_back(static_cast<const char *>(data), size);
    }

    static void onLineEnd(int, void *self)
    {
        auto *parser = static_cast<CsvParser *>(self);
        parser->m_lines.push_back(std::move(parser->m_cells));
        parser->m_cells.clear();
    }

    void deliverLines(std::size_t line, TableReader &reader)
    {
        for (const Cells &cells : m_lines) {
            reader.readLine(line, cells);
        }
        m_lines.clear();
    }

    csv_parser m_parser {};
    Cells m_cells;
    std::vector<Cells> m_lines;
};

// Spreadsheets of many countries write semicolons, and the header line has none of either inside a cell.
char delimiterOf(std::string_view text)
{
    const std::string_view header = text.substr(0, text.find('\n'));
    return header.find(';') == std::string_view::npos ? ',' : ';';
}

} // namespace internal

std::string exportTable(const ConfigTable &table)
{
    using internal::textOf;
    std::string out;
    internal::writeLine(out, { internal::Headings.begin(), internal::Headings.end() });
    for (const Row &row : table.rows()) {
        internal::writeLine(out,
                            { row.account.value(),
                              row.service.value(),
                              textOf(row.weight),
                              textOf(row.limits.requestsPerSecond),
                              textOf(row.limits.inFlight),
                              textOf(row.limits.queue),
                              textOf(row.version) });
    }
    return out;
}

Result<std::vector<Row>> parseTable(std::string_view bytes)
{
    constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
    if (bytes.starts_with(ByteOrderMark)) {
        bytes.remove_prefix(ByteOrderMark.size());
    }
    const char delimiter = internal::delimiterOf(bytes);
    internal::TableReader reader(delimiter);
    try {
        internal::CsvParser(delimiter).run(bytes, reader);
        return std::move(reader).rows();
    } catch (const internal::TableError &error) {
        return failure(ErrorKind::BadConfiguration, error.detail);
    }
}

std::vector<Change> differences(const ConfigTable &table, const std::vector<Row> &rows, const std::vector<Row> &removed)
{
    std::vector<Change> changes;
    for (const Row &row : rows) {
        const auto current = table.row(row.account, row.service);
        const bool same = current && current->weight == row.weight && current->limits == row.limits;
        if (!same) {
            changes.push_back({ row, false });
        }
    }
    for (const Row &row : removed) {
        changes.push_back({ row, true });
    }
    return changes;
}

} // namespace mulberryplank
