#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/base/errorkind.h"

namespace mulberryplank
{

// One record of a CSV file, with the line on which it ends, counted from 1.
struct CsvRecord {
    std::size_t line = 0;
    std::vector<std::string> fields;
};

// A CSV file: its heading and its records.
struct CsvFile {
    std::string name; // for messages
    std::vector<std::string> headings;
    std::vector<CsvRecord> records;
};

// Reads CSV as spreadsheets write it: with or without a byte-order mark, lines ending in LF or CRLF, fields parted by
// commas, semicolons or tabs (whichever the heading has most of), quoted or not; empty lines don't count. Errors:
// BadConfiguration with file and line when it isn't CSV or has no heading.
Result<CsvFile> parseCsv(const std::string &name, std::string_view bytes);

// Returns a file's content. Errors: BadConfiguration when it can't be read.
Result<std::string> readWholeFile(const std::string &path);

// How one column of a file becomes a part of an item.
template<typename Item>
struct CsvColumn {
    std::string heading;
    std::string allowed; // for people
    bool required = false; // a column that isn't may be missing, and leaves the item's default
    std::function<bool(Item &item, const std::string &value)> store; // returns false if the value isn't allowed
    bool secret = false; // true: no text of the file is ever part of an error
};

// What stands in an error in place of text that may be a secret.
inline constexpr const char *RedactedText = "(withheld)";

// Tells what is wrong with a file's heading, one line each, given the columns that may and must be there. `secret`
// keeps the file's text out: a file without a heading has a secret in its first line.
std::vector<std::string> findHeadingProblems(const CsvFile &file,
                                             const std::vector<std::string> &known,
                                             const std::vector<std::string> &required,
                                             bool secret);

// Returns "file line 3, column weight: 'x' is not allowed; allowed: 1 to 10000".
std::string formatFieldProblem(const CsvFile &file,
                               const CsvRecord &record,
                               const std::string &heading,
                               const std::string &value,
                               const std::string &allowed);

// Returns lines as one text.
std::string joinLines(const std::vector<std::string> &lines);

// Returns the items that a file's records stand for. Errors: BadConfiguration with one line for each thing that is
// wrong, naming file, line, column and value.
template<typename Item>
Result<std::vector<Item>> parseItems(const CsvFile &file, const std::vector<CsvColumn<Item>> &columns)
{
    std::vector<std::string> known;
    std::vector<std::string> required;
    for (const CsvColumn<Item> &column : columns) {
        known.push_back(column.heading);
        if (column.required) {
            required.push_back(column.heading);
        }
    }
    const bool secret = std::any_of(columns.begin(), columns.end(), [](const CsvColumn<Item> &column) {
        return column.secret;
    });
    std::vector<std::string> problems = findHeadingProblems(file, known, required, secret);
    if (!problems.empty()) {
        return failure(ErrorKind::BadConfiguration, joinLines(problems));
    }
    std::vector<Item> items;
    for (const CsvRecord &record : file.records) {
        Item item;
        for (std::size_t index = 0; index < file.headings.size(); ++index) {
            const auto column = std::find_if(columns.begin(), columns.end(), [&](const CsvColumn<Item> &candidate) {
                return candidate.heading == file.headings[index];
            });
            const std::string value = index < record.fields.size() ? record.fields[index] : "";
            if (!column->store(item, value)) {
                const std::string shown = secret ? RedactedText : value;
                problems.push_back(formatFieldProblem(file, record, column->heading, shown, column->allowed));
            }
        }
        if (record.fields.size() > file.headings.size()) {
            const std::string extra = secret ? RedactedText : record.fields[file.headings.size()];
            problems.push_back(formatFieldProblem(file, record, "(none)", extra, "no more fields than headings"));
        }
        items.push_back(std::move(item));
    }
    if (!problems.empty()) {
        return failure(ErrorKind::BadConfiguration, joinLines(problems));
    }
    return items;
}

} // namespace mulberryplank
