/** Whether what a caller wants is declared at all. */
import type {ConfigSnapshot, Problem, Work} from '@oathead/core';

/**
 * @param work - What a caller wants done.
 * @param cfg - What is declared.
 * @returns What is wrong with it, or undefined.
 */
export function modelProblem(
  work: Work,
  cfg: ConfigSnapshot,
): Problem | undefined {
  if (work.kind === 'call') return serviceProblem(work.service, cfg);
  const model = cfg.get('models', work.model);
  if (model?.spec.type !== 'model') {
    return {path: 'model', message: `no model is named ${work.model}`};
  }
  const {adapter} = work;
  if (
    adapter !== undefined &&
    cfg.get('adapters', adapter)?.spec.model !== work.model
  ) {
    return {path: 'adapter', message: `no adapter is named ${adapter}`};
  }
  if (work.maxTokens <= model.spec.maxTokens) return undefined;
  const message = `at most ${model.spec.maxTokens} tokens`;
  return {path: 'max_tokens', message};
}

function serviceProblem(
  service: string,
  cfg: ConfigSnapshot,
): Problem | undefined {
  if (cfg.get('models', service)?.spec.type === 'service') return undefined;
  return {path: 'service', message: `no service is named ${service}`};
}
