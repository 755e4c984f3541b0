#include "mulberryplank/policy/requestcheck.h"

#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

const std::string Line = "POST /tickets/new HTTP/1.1\r\n";
const std::string Host = "Host: gateway\r\n";
const std::string End = "\r\n";

bool accepted(const std::string &block)
{
    return checkHeaderBlock(block).has_value();
}

} // namespace

TEST_GROUP(RequestCheck) {};

TEST(RequestCheck, plainRequestsAreAccepted)
{
    CHECK_TRUE(accepted(Line + Host + "Content-Length: 12\r\n" + End));
    CHECK_TRUE(accepted(Line + Host + "transfer-encoding: Chunked \r\n" + End));
    CHECK_TRUE(accepted("GET http://gateway/a HTTP/1.1\r\n" + Host + End));
    CHECK_TRUE(accepted(Line + Host + "X-Note:\tbl\xc3\xa4tter\r\n" + End));
}

// Guards against request smuggling, where one account's request is placed in front of another account's.
TEST(RequestCheck, requestsThatParsersDelimitDifferentlyAreRejected)
{
    const std::array<std::string, 22> Blocks {
        Line + Host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" + End,
        Line + Host + "Content-Length: 3\r\nContent-Length: 4\r\n" + End,
        Line + Host + "Content-Length: 3\r\nContent-Length: 3\r\n" + End,
        Line + Host + "Content-Length: 3, 3\r\n" + End,
        Line + Host + "Content-Length: +3\r\n" + End,
        Line + Host + "Content-Length: \r\n" + End,
        Line + Host + "Content-Length : 3\r\n" + End,
        Line + Host + "Content-Length\t: 3\r\n" + End,
        Line + Host + "Transfer-Encoding: xchunked\r\n" + End,
        Line + Host + "Transfer-Encoding: gzip, chunked\r\n" + End,
        Line + Host + "Transfer-Encoding: identity\r\n" + End,
        Line + Host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + End,
        Line + Host + "Transfer-Encoding:\r\n chunked\r\n" + End,
        "POST /a HTTP/1.0\r\n" + Host + "Transfer-Encoding: chunked\r\n" + End,
        Line + Host + "A: b\nC: d\r\n" + End,
        Line + Host + "A: b\rC: d\r\n" + End,
        Line + Host + "\n",
        Line + Host + "A: b\r\n c\r\n" + End,
        Line + Host + std::string("A: b\0c\r\n", 8) + End,
        Line + Host + "no colon\r\n" + End,
        Line + Host + ": nameless\r\n" + End,
        End + Line + Host + End,
    };
    for (const std::string &block : Blocks) {
        CHECK_FALSE_TEXT(accepted(block), block.c_str());
    }
}

TEST(RequestCheck, requestForTwoHostsOrNoneIsRejected)
{
    CHECK_FALSE(accepted(Line + End));
    CHECK_FALSE(accepted(Line + Host + Host + End));
    CHECK_FALSE(accepted("GET http://elsewhere/a HTTP/1.1\r\n" + Host + End));
    CHECK_FALSE(accepted("GET ftp://gateway/a HTTP/1.1\r\n" + Host + End));
    CHECK_FALSE(accepted("CONNECT gateway:80 HTTP/1.1\r\n" + Host + End));
}

TEST(RequestCheck, blockEndsAtFirstEmptyLineWithAnyLineEnding)
{
    const std::string block = Line + Host + End;
    CHECK_TRUE(headerBlockLength(block + "body\r\n\r\n") == block.size());
    CHECK_FALSE(headerBlockLength(Line + Host).has_value());
    CHECK_TRUE(headerBlockLength("GET / HTTP/1.1\nHost: x\n\nrest")
               == std::string("GET / HTTP/1.1\nHost: x\n\n").size());
    CHECK_TRUE(headerBlockLength(Line + Host + "\n") == (Line + Host + "\n").size());
}
