#include "mulberryplank/policy/tablecsv.h"

#include <rapidcheck.h>

#include "configtestdata.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;
using namespace mulberryplank::testdata;

TEST_GROUP(TableCsv)
{
    const std::string header = "account,service,weight,requests_per_second,in_flight,queue,version\n";

    static void checkError(const std::string &text, const std::string &expected)
    {
        const auto rows = parseTable(text);
        CHECK_FALSE(rows.has_value());
        STRCMP_EQUAL(expected.c_str(), rows.error().detail.c_str());
    }
};

TEST(TableCsv, exportedTableComesBackWithoutDifferences)
{
    CHECK_TRUE(rc::check("export and import change nothing", [] {
        const auto log = generateLog();
        ConfigTable table;
        applyUpTo(table, log, log.size());
        const auto rows = parseTable(exportTable(table));
        RC_ASSERT(rows.has_value());
        RC_ASSERT(*rows == table.rows());
        RC_ASSERT(differences(table, *rows).empty());
    }));
}

TEST(TableCsv, takesWhatSpreadsheetsSave)
{
    const auto rows = parseTable("\xef\xbb\xbf"
                                 "service;account;weight;requests_per_second;in_flight;queue;version\r\n"
                                 "\"pressdesk\";kpc;3;1,5;4;8;17\r\n"
                                 "\r\n"
                                 "proofroom;kpc;1;0;0;0;0");
    CHECK_TRUE(rows.has_value());
    LONGS_EQUAL(2, rows->size());
    CHECK_TRUE(rows->at(0) == (Row { AccountName("kpc"), ServiceName("pressdesk"), 3, { 1.5, 4, 8 }, 17 }));
}

TEST(TableCsv, namesLineHeadingAndValueOfAFault)
{
    checkError(header + "a,s,heavy,0,0,0,0\n", "line 2, weight: must be a number in range, not \"heavy\"");
    checkError(header + "\na,s,0,0,0,0,0\n", "line 3, weight: must be 1 to 10000, not \"0\"");
    checkError(header + "a,s,1,0,0,0,0\nb,s,1,0,0,0,0\na,s,2,0,0,0,0\n", "line 4, row (a, s) stands on line 2 already");
    checkError(header + "a,s,1\n", "line 2: 3 cells where the header line has 7");
    checkError("account,service,wieght\n", "line 1, wieght: no such column, not \"wieght\"");
    checkError("account,service\n", "line 1, weight: the column is missing, not \"\"");
    checkError(header + "\"a,s,1,0,0,0,0\n", "line 2: a quoted cell doesn't end");
    checkError("", "line 1: the header line is missing");
}

TEST(TableCsv, onlyWhatDiffersIsChangedAndOnlyWhatIsNamedIsRemoved)
{
    ConfigTable table;
    CHECK_TRUE(table
                   .apply(0,
                          record("fill",
                                 { { account("a"), false },
                                   { service("s"), false },
                                   { service("u"), false },
                                   { service("w"), false },
                                   { row("a", "s"), false },
                                   { row("a", "u"), false },
                                   { row("a", "w"), false } }))
                   .has_value());
    const auto changes = differences(table, { row("a", "s", 1, 1), row("a", "u", 2, 1) }, { row("a", "w", 1, 1) });
    LONGS_EQUAL(2, changes.size());
    CHECK_TRUE(changes[0] == (Change { row("a", "u", 2, 1), false }));
    CHECK_TRUE(changes[1] == (Change { row("a", "w", 1, 1), true }));
}
