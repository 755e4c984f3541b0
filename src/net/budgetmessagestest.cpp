#include "mulberryplank/net/budgetmessages.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

TEST_GROUP(BudgetMessages) {};

TEST(BudgetMessages, roundTripThroughEncoding)
{
    const Result<BudgetMessage> read = decodeBudgetMessage(encode(BudgetMessage { ServiceName("s"), 7 }));
    STRCMP_EQUAL("s", read->service.value().c_str());
    CHECK_EQUAL(7, read->requestNumber);
}

TEST(BudgetMessages, truncatedBytesAreRejected)
{
    const std::string bytes = encode(BudgetMessage { ServiceName("service"), 7 });
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeBudgetMessage(std::string_view(bytes).substr(0, size)).has_value());
    }
}
