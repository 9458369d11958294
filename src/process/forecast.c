#include "process/forecast.h"

void forecast_min_us(int64_t *bound_us, int64_t value_us)
{
	if (value_us > 0 && (*bound_us == 0 || value_us < *bound_us))
		*bound_us = value_us;
}

double forecast_decode_us(const engine_profile_t *engine, int32_t decoding,
			  int64_t context_tokens)
{
	double step_us =
		engine->step_us + engine->step_per_decode_us * decoding +
		engine->step_per_context_token_us * (double)context_tokens;

	return decoding > 0 ? step_us * engine->steps_per_iteration : 0;
}

double forecast_prefill_us(const engine_profile_t *engine,
			   int64_t prompt_tokens, int32_t shards)
{
	double tokens = (double)prompt_tokens / shards;
	double pairs = (double)prompt_tokens * tokens / 2;
	double steps = tokens / engine->chunk_tokens + 1;

	return steps * engine->step_us + tokens * engine->prefill_token_us +
	       pairs * engine->prefill_pair_us;
}

double forecast_iteration_prefill_us(const engine_profile_t *engine,
				     double prefill_us, int64_t tokens)
{
	double tokens_max =
		(double)engine->steps_per_iteration * engine->chunk_tokens;

	if ((double)tokens <= tokens_max)
		return prefill_us;
	return prefill_us * tokens_max / (double)tokens;
}

double forecast_decode_wait_us(const engine_profile_t *engine,
			       const server_load_t *load)
{
	/* Requests that are prefilled before this prompt decode during
	 * its prefill. */
	int32_t streams = load->decoding + load->decode_pending;

	/* On average, half of the running iteration is left. The iteration that
	 * prefills the prompt follows. */
	return forecast_decode_us(engine, streams, load->kv_tokens) * 3 / 2;
}

double forecast_first_event_us(const engine_profile_t *engine,
			       const server_load_t *load, double prefill_us)
{
	return forecast_decode_wait_us(engine, load) +
	       (double)load->backlog_us + prefill_us;
}

double forecast_output_us(const engine_profile_t *engine, int64_t output_tokens,
			  const server_load_t *load)
{
	double iterations =
		(double)output_tokens / engine->steps_per_iteration + 1;

	return iterations * forecast_decode_us(engine, load->decoding + 1,
					       load->kv_tokens) +
	       (double)load->backlog_us;
}
