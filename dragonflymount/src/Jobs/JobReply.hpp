// Replies to calls; private to the job engine.
#ifndef DRAGONFLYMOUNT_JOBS_JOB_REPLY_HPP
#define DRAGONFLYMOUNT_JOBS_JOB_REPLY_HPP

#include "dragonflymount/wire.hpp"

namespace dragonflymount::jobs::internal {

/// \returns a reply without further content.
inline wire::JobReplyT reply_of(wire::job_status status) {
    wire::JobReplyT reply;
    reply.status = status;
    return reply;
}

} // namespace dragonflymount::jobs::internal

#endif
