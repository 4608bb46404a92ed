#include "delta/value_delta.h"

#include <algorithm>
#include <memory>
#include <new>

#include <zstd.h>

namespace citronfall {
namespace {

/// Speed before size: what repeats in a configuration is found on any level.
constexpr int compression_level = 3;

/// The base has to lie in the window: base and value of the most that the store holds, 1 MB each, and some more.
constexpr int min_window_log = 17;
constexpr int max_window_log = 23;

int window_log_for(std::size_t bytes)
{
    int log = min_window_log;
    while (log < max_window_log && (std::size_t{1} << static_cast<unsigned>(log)) < bytes) {
        ++log;
    }
    return log;
}

error bad_delta(const std::string& why)
{
    return error{{.kind = error_kind::bad_request, .detail = "delta of a value: " + why}};
}

} // namespace

std::string make_value_delta(std::string_view base, std::string_view value)
{
    const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    if (context == nullptr) {
        throw std::bad_alloc();
    }
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log_for(base.size() + value.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string delta(ZSTD_compressBound(value.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), delta.data(), delta.size(), value.data(), value.size());
    if (ZSTD_isError(size) != 0) {
        throw std::bad_alloc(); // The bound excludes all other errors.
    }
    delta.resize(size);
    delta.shrink_to_fit();
    return delta;
}

result<std::string> apply_value_delta(std::string_view base, std::string_view delta, std::size_t max_size)
{
    const auto size = ZSTD_getFrameContentSize(delta.data(), delta.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > max_size) {
        return bad_delta("no valid size");
    }
    const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    if (context == nullptr) {
        throw std::bad_alloc();
    }
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_log);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string value(size, '\0');
    const std::size_t got = ZSTD_decompressDCtx(context.get(), value.data(), value.size(), delta.data(), delta.size());
    if (ZSTD_isError(got) != 0) {
        return bad_delta(ZSTD_getErrorName(got));
    }
    if (got != value.size()) {
        return bad_delta("too short");
    }
    return value;
}

} // namespace citronfall
