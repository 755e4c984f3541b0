#include "mulberryplank/app/linewriter.h"

#include <array>

#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace mulberryplank;

namespace
{

constexpr Instant Start { Seconds(1'000) };

class Pipe
{
public:
    Pipe()
    {
        CHECK_EQUAL(0, ::pipe(m_ends.data()));
    }

    ~Pipe()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    int writeEnd() const
    {
        return m_ends[1];
    }

    std::string read(std::size_t maxSize)
    {
        std::string bytes(maxSize, '\0');
        const ssize_t size = ::read(m_ends[0], bytes.data(), bytes.size());
        bytes.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return bytes;
    }

private:
    std::array<int, 2> m_ends {};
};

} // namespace

TEST_GROUP(LineWriter) {};

TEST(LineWriter, linesAreWrittenAsTheyCome)
{
    Pipe pipe;
    LineWriter writer(pipe.writeEnd(), {});
    writer.write("one\n", false, Start);
    writer.write("two\n", false, Start);
    STRCMP_EQUAL("one\ntwo\n", pipe.read(100).c_str());
}

// Failure: a process answers nobody, though nothing is wrong with it.
TEST(LineWriter, readerThatStopsReadingStopsNothing)
{
    Pipe pipe;
    LineWriter writer(pipe.writeEnd(), { 1'000, 1e9, 1e9, 1e9, 1e9 });
    const std::string line(100, 'x');
    for (int i = 0; i < 5'000; ++i) {
        writer.write(line + "\n", true, Start);
    }
    CHECK_TRUE(writer.dropped() > 1'000);
    while (pipe.read(4'096).size() == 4'096) {
    }
    const std::uint64_t dropped = writer.dropped();
    writer.write("last\n", true, Start);
    const std::string rest = pipe.read(4'096);
    CHECK_TRUE(rest.find("log-lines-dropped count=" + std::to_string(dropped)) != std::string::npos);
    CHECK_TRUE(rest.ends_with("last\n"));
}

TEST(LineWriter, rateHoldsForLinesThatAreNotImportant)
{
    Pipe pipe;
    LineWriter writer(pipe.writeEnd(), { 1'000, 10, 2 });
    for (int i = 0; i < 5; ++i) {
        writer.write("x\n", false, Start);
    }
    CHECK_EQUAL(3, writer.dropped());
    writer.write("important\n", true, Start);
    CHECK_EQUAL(3, writer.dropped());
    writer.write("later\n", false, Start + Seconds(1));
    CHECK_EQUAL(3, writer.dropped());
}

// Failure: under a flood of failures the log takes more of the processor than the requests do.
TEST(LineWriter, importantLinesHaveARateOfTheirOwn)
{
    Pipe pipe;
    LineWriterSettings settings { 1'000'000, 10, 2, 5, 3 };
    LineWriter writer(pipe.writeEnd(), settings);
    for (int i = 0; i < 10; ++i) {
        writer.write("x\n", true, Start);
    }
    CHECK_EQUAL(7, writer.dropped());
    writer.write("routine\n", false, Start);
    CHECK_EQUAL(7, writer.dropped());
    writer.write("later\n", true, Start + Seconds(1));
    CHECK_EQUAL(7, writer.dropped());
}
