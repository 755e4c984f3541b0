#pragma once

#include "mulberryplank/net/forwarder.h"

namespace mulberryplank
{

// One attempt of a forwarder.
struct Forwarder::AttemptState : boost::intrusive_ref_counter<AttemptState, boost::thread_unsafe_counter> {
    ChosenTarget target;
    Instant started {};
    std::optional<Instant> noResponseReportAt; // when the others are to be told that no answer has come
    TargetConnectionPtr connection;
    bool sent = false; // a byte of the request may have gone out
    bool written = false; // all of the request has
    bool sentBeforeResponse = false; // the answer came after all of the request had gone out
    bool cancelled = false; // nothing of it counts any more
    bool ended = false; // `result` is known
    bool recorded = false;
    AttemptResult result = AttemptResult::Cancelled;
    std::unique_ptr<ResponseParser> parser;
    ResponseFields fields;
    std::string body;
    bool hasMoreBody = false; // the answer is too large to be held

    // Returns the answer's status, or 0 while its header hasn't come. An empty message claims 200, so that a target
    // which said nothing would look as if it had begun its answer.
    unsigned status() const
    {
        return parser && parser->is_header_done() ? parser->get().result_int() : 0;
    }
};

} // namespace mulberryplank
