#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "mulberryplank/policy/configtable.h"

namespace mulberryplank
{

// Returns the operators' table as CSV for a spreadsheet: a header line
// account,service,weight,requests_per_second,in_flight,queue,version and one line per row, ordered by account and
// service. 0 in a limit means no limit.
std::string exportTable(const ConfigTable &table);

// Returns the rows of a table that was written by exportTable() and possibly saved again by a spreadsheet: with a
// byte-order mark, CRLF, quotes, semicolons (then with decimal commas) and columns in another order. Returns
// BadConfiguration with the line, the column's heading and the value for any error, including a duplicate row. The file
// is accepted or rejected as a whole.
Result<std::vector<Row>> parseTable(std::string_view bytes);

// Returns the changes that set the rows of `table` to `rows`. A row is changed only if its content differs. The change
// is based on the version in the file, so it conflicts if the row was edited since the export. Rows of the table that
// aren't in `rows` are kept. `removed` lists the rows to remove, each with the version on which the removal is based.
std::vector<Change> differences(const ConfigTable &table,
                                const std::vector<Row> &rows,
                                const std::vector<Row> &removed = {});

} // namespace mulberryplank
