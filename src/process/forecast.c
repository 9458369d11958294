#include "process/forecast.h"

void forecast_min_us(int64_t *bound_us, int64_t value_us)
{
	if (value_us > 0 && (*bound_us == 0 || value_us < *bound_us))
		*bound_us = value_us;
}

double forecast_decode_us(const engine_profile_t *engine, int32_t writers,
			  int64_t context_tokens)
{
	double step_us =
		engine->step_us + engine->step_per_writer_us * writers +
		engine->step_per_context_token_us * (double)context_tokens;

	return writers > 0 ? step_us * engine->steps_per_pass : 0;
}

double forecast_read_us(const engine_profile_t *engine, int64_t prompt_tokens,
			int32_t parts)
{
	double tokens = (double)prompt_tokens / parts;
	double pairs = (double)prompt_tokens * tokens / 2;
	double steps = tokens / engine->chunk_tokens + 1;

	return steps * engine->step_us + tokens * engine->read_token_us +
	       pairs * engine->read_pair_us;
}

double forecast_pass_read_max_us(const engine_profile_t *engine, double read_us,
				 int64_t tokens)
{
	double tokens_max =
		(double)engine->steps_per_pass * engine->chunk_tokens;

	if ((double)tokens <= tokens_max)
		return read_us;
	return read_us * tokens_max / (double)tokens;
}

double forecast_decode_wait_us(const engine_profile_t *engine,
			       const server_load_t *load)
{
	/* What is read before the prompt writes beside it. */
	int32_t streams = load->writers + load->starting;

	/* Half of the pass that runs, then the pass that reads the prompt. */
	return forecast_decode_us(engine, streams, load->kv_tokens) * 3 / 2;
}

double forecast_first_event_us(const engine_profile_t *engine,
			       const server_load_t *load, double read_us)
{
	return forecast_decode_wait_us(engine, load) +
	       (double)load->pending_us + read_us;
}

double forecast_write_us(const engine_profile_t *engine, int64_t output_tokens,
			 const server_load_t *load)
{
	double passes = (double)output_tokens / engine->steps_per_pass + 1;

	return passes * forecast_decode_us(engine, load->writers + 1,
					   load->kv_tokens) +
	       (double)load->pending_us;
}
