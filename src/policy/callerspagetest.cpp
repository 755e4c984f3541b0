#include <fstream>
#include <sstream>
#include <string>

#include "mulberryplank/base/errorkind.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

std::string callersPage()
{
    std::ifstream file(std::string(MULBERRYPLANK_SOURCE_DIR) + "/docs/CALLERS.md");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string tableRow(const ErrorInfo &row)
{
    const std::string retryAfter = row.retryAfterSeconds > 0 ? std::to_string(row.retryAfterSeconds) : "-";
    return "| `" + std::string(row.name) + "` | " + std::to_string(row.status) + " | "
           + std::string(toString(row.outcome)) + " | " + (row.repeatIsSafe ? "yes" : "no") + " | " + retryAfter
           + " | ";
}

} // namespace

TEST_GROUP(CallersPage) {};

TEST(CallersPage, printsTheRowOfEveryErrorKind)
{
    const std::string page = callersPage();
    std::size_t last = 0;
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const std::string row = tableRow(errorInfo(static_cast<ErrorKind>(index)));
        const std::size_t found = page.find(row);
        CHECK_TRUE_TEXT(found != std::string::npos, row.c_str());
        CHECK_TRUE_TEXT(found > last, row.c_str());
        last = found;
    }
}
