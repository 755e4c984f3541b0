#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/policy/configtable.h"

namespace mulberryplank
{

// Returns the operators' table as CSV for a spreadsheet: a header line
// account,service,weight,requests_per_second,in_flight,queue,version and a line for each row, in order of account and
// service. 0 in a limit means no limit.
std::string exportTable(const ConfigTable &table);

// Returns the rows of a table that exportTable() wrote and a spreadsheet may have saved anew: with a byte-order mark,
// CRLF, quotes, semicolons (then with decimal commas) and columns in another order. Everything wrong is
// BadConfiguration with the line, the column's heading and the value; so is a row that stands there twice. The file is
// taken whole or not at all.
Result<std::vector<Row>> parseTable(std::string_view bytes);

// Returns the changes that bring `table` to `rows`. A row changes only if its content differs; the change is based on
// the version in the file, so it conflicts if somebody else has edited the row since the export. Rows of the table that
// aren't in `rows` stay; `removed` names those to remove, each with the version that the removal is based on.
std::vector<Change> differences(const ConfigTable &table,
                                const std::vector<Row> &rows,
                                const std::vector<Row> &removed = {});

} // namespace mulberryplank
