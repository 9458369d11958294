#include "process/forecast.h"

double forecast_pass_us(const engine_profile_t *engine, int32_t writers,
			int64_t context_tokens)
{
	double step_us =
		engine->step_us + engine->step_per_writer_us * writers +
		engine->step_per_context_token_us * (double)context_tokens;

	return writers > 0 ? step_us * engine->steps_per_pass : 0;
}

double forecast_read_us(const engine_profile_t *engine, int64_t prompt_tokens,
			int32_t parts, const server_load_t *load)
{
	double tokens = (double)prompt_tokens / parts;
	double pairs = (double)prompt_tokens * tokens / 2;
	double chunks = tokens / engine->chunk_tokens + 1;
	double pass_us =
		forecast_pass_us(engine, load->writers, load->kv_tokens);

	if (pass_us < engine->step_us)
		pass_us = engine->step_us;
	return chunks * pass_us + tokens * engine->read_token_us +
	       pairs * engine->read_pair_us;
}

double forecast_first_event_us(const engine_profile_t *engine,
			       const server_load_t *load)
{
	return forecast_pass_us(engine, load->writers + 1, load->kv_tokens);
}

double forecast_write_us(const engine_profile_t *engine, int64_t output_tokens,
			 const server_load_t *load)
{
	double passes = (double)output_tokens / engine->steps_per_pass + 1;
	double chunk_us = load->readers > 0
				  ? engine->chunk_tokens * engine->read_token_us
				  : 0;

	return passes *
	       (forecast_pass_us(engine, load->writers + 1, load->kv_tokens) +
		chunk_us);
}
