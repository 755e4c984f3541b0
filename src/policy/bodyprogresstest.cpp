#include "mulberryplank/policy/bodyprogress.h"

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

BodyHeader fullHeader()
{
    BodyHeader header;
    header.length = 1'000;
    header.etag = "\"v1\"";
    return header;
}

BodyHeader restFrom(std::uint64_t first)
{
    BodyHeader header = fullHeader();
    header.status = 206;
    header.length = 1'000 - first;
    header.contentRange = "bytes " + std::to_string(first) + "-999/1000";
    return header;
}

} // namespace

TEST_GROUP(BodyResume) {};

TEST(BodyResume, brokenDownloadAsksForExactlyTheMissingBytes)
{
    BodyProgress progress(fullHeader());
    progress.accept(400);
    STRCMP_EQUAL("bytes=400-999", progress.resumeRequest()->range.c_str());
    STRCMP_EQUAL("\"v1\"", progress.resumeRequest()->ifRange.c_str());
    CHECK_TRUE(progress.isContinuedBy(restFrom(400)));
}

TEST(BodyResume, brokenRangeRequestContinuesWithinItsOwnRange)
{
    BodyHeader header = restFrom(600);
    header.length = 100;
    header.contentRange = "bytes 600-699/1000";
    BodyProgress progress(header);
    progress.accept(30);
    STRCMP_EQUAL("bytes=630-699", progress.resumeRequest()->range.c_str());
}

// Failure: a symbol fullHeader holds the first half of one version and the second of another, or a gap.
TEST(BodyResume, restThatIsNotProvenToFitIsRefused)
{
    BodyProgress progress(fullHeader());
    progress.accept(400);
    CHECK_FALSE(progress.isContinuedBy(fullHeader()));
    CHECK_FALSE(progress.isContinuedBy(restFrom(399)));
    CHECK_FALSE(progress.isContinuedBy(restFrom(401)));
    BodyHeader other = restFrom(400);
    other.etag = "\"v2\"";
    CHECK_FALSE(progress.isContinuedBy(other));
    other = restFrom(400);
    other.contentRange = "bytes 400-999/*";
    CHECK_FALSE(progress.isContinuedBy(other));
    other = restFrom(400);
    other.framing = BodyFraming::Chunked;
    CHECK_FALSE(progress.isContinuedBy(other));
}

TEST(BodyResume, bodyWithoutStrongValidatorOrLengthIsNotResumed)
{
    BodyHeader weak = fullHeader();
    weak.etag = "W/\"v1\"";
    CHECK_FALSE(BodyProgress(weak).resumeRequest().has_value());
    BodyHeader chunked = fullHeader();
    chunked.framing = BodyFraming::Chunked;
    CHECK_FALSE(BodyProgress(chunked).resumeRequest().has_value());
}

TEST(BodyResume, impossibleContentRangesAreRefused)
{
    CHECK_TRUE(parseContentRange("bytes 0-0/1").has_value());
    for (const char *value :
         { "bytes 5-4/10", "bytes 0-10/10", "bytes -1-4/10", "bytes 0-4", "items 0-4/10", "bytes 0-4/10x" }) {
        CHECK_FALSE_TEXT(parseContentRange(value).has_value(), value);
    }
}
