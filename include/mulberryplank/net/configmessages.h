#pragma once

#include <string>

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "mulberryplank/policy/recordtail.h"

namespace mulberryplank
{

template<typename Archive>
void serialize(Archive &archive, ConfigNews &news)
{
    archive(news.from, news.before, news.records);
}

// A datagram: how far its sender is, and some records, if they fit.
struct ConfigPush {
    Offset applied = 0;
    ConfigNews news;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(applied, news);
    }
};

// A call: how far the caller is. The answer brings what it lacks.
struct ConfigPull {
    Offset applied = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(applied);
    }
};

// The answer: records that follow on the caller's, or a snapshot where they aren't kept any more, or neither.
struct ConfigPullAnswer {
    Offset applied = 0;
    bool ready = false; // whether the one who answers has a configuration, if only an empty one
    ConfigNews news;
    std::string snapshot;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(applied, ready, news, snapshot);
    }
};

} // namespace mulberryplank
