#include "citronfall/part_digest.h"

namespace citronfall {

std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return hash;
}

part_digest part_digest::of(const document_part& part)
{
    return part_digest{{.part = part->part, .revision = part->revision, .hash = stable_hash(part->text)}};
}

} // namespace citronfall
