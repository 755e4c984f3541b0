#include <fstream>
#include <ostream>

#include "commandparts.h"

#include "mulberryplank/app/csvfile.h"
#include "mulberryplank/app/itemcsv.h"
#include "mulberryplank/policy/tablecsv.h"

namespace mulberryplank::internal
{

namespace
{

ExitCode exportCommand(const OptionValues &values, CommandContext &context)
{
    const auto client = connect(values, context);
    if (!client) {
        return usageError(client.error(), context);
    }
    const Result<std::string> csv = (*client)->get("/-/table");
    if (!csv) {
        return fleetError(csv.error(), context);
    }
    const std::string &path = values["output"];
    if (path.empty()) {
        context.out << *csv;
        return ExitCode::Done;
    }
    std::ofstream file(path, std::ios::binary);
    file << *csv;
    file.close();
    if (!file) {
        return usageError({ ErrorKind::BadConfiguration, path + ": cannot be written" }, context);
    }
    return ExitCode::Done;
}

ExitCode importCommand(const OptionValues &values, CommandContext &context)
{
    const std::string &path = values.positionals.front();
    const Result<std::string> content = readWholeFile(path);
    if (!content) {
        return usageError(content.error(), context);
    }
    const Result<std::vector<Row>> wanted = parseTable(*content);
    if (!wanted) {
        return usageError({ wanted.error().kind, path + " " + wanted.error().detail }, context);
    }
    return withItems<Row>(values, context, fetchRows, [&](AdminClient &client, const std::vector<Row> &current) {
        return applyDiff(client, rowDiff(current, *wanted, values.has("remove-missing")), values, context);
    });
}

// Returns the row as the table has it, or a new one of version 0.
Row findRow(const std::vector<Row> &rows, const AccountName &account, const ServiceName &service)
{
    for (const Row &row : rows) {
        if (row.account == account && row.service == service) {
            return row;
        }
    }
    Row row;
    row.account = account;
    row.service = service;
    return row;
}

// Sets the columns that "weight=3" and the like name.
Result<void> setFields(Row &row, const std::vector<std::string> &operands)
{
    for (std::size_t index = 2; index < operands.size(); ++index) {
        const std::string &operand = operands[index];
        const std::size_t equals = operand.find('=');
        if (equals == std::string::npos) {
            return failure(ErrorKind::BadConfiguration, "'" + operand + "' is not allowed; allowed: COLUMN=VALUE");
        }
        if (auto set = setField(row, operand.substr(0, equals), operand.substr(equals + 1)); !set) {
            return set;
        }
    }
    return {};
}

ExitCode setCommand(const OptionValues &values, CommandContext &context)
{
    const std::vector<std::string> &operands = values.positionals;
    Row scratch;
    if (const Result<void> valid = setFields(scratch, operands); !valid) {
        return usageError(valid.error(), context);
    }
    return withItems<Row>(values, context, fetchRows, [&](AdminClient &client, const std::vector<Row> &current) {
        Row wanted = findRow(current, AccountName(operands[0]), ServiceName(operands[1]));
        const Result<void> set = setFields(wanted, operands);
        if (!set) {
            return usageError(set.error(), context);
        }
        return applyDiff(client, rowDiff(current, { wanted }, false), values, context);
    });
}

} // namespace

std::vector<CommandInfo> tableCommands()
{
    const OptionInfo dryRun = switchOption("dry-run", "Print the difference and send nothing.");
    return {
        { "table",
          "export",
          "",
          "write the table as CSV",
          clientOptions({ fileOption("output", "File to write; without one the table goes to standard output.") }),
          0,
          0,
          exportCommand },
        { "table",
          "import",
          "FILE",
          "change exactly the rows in which a CSV file differs from the table",
          editOptions({ dryRun, switchOption("remove-missing", "Remove the table's rows that the file lacks.") }),
          1,
          1,
          importCommand },
        { "table",
          "set",
          "ACCOUNT SERVICE COLUMN=VALUE...",
          "set weight, requests_per_second, in_flight or queue of one row",
          editOptions({ dryRun }),
          3,
          6,
          setCommand },
    };
}

} // namespace mulberryplank::internal
