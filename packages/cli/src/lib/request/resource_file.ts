/** Files of resources, as operators write them. */
import {SPEC_SCHEMAS, checkSpec, problemsOf} from '@oathead/config';
import {RESOURCE_KINDS, failure, success} from '@oathead/core';
import type {Outcome, Problem, ResourceKind} from '@oathead/core';
import {z} from 'zod';
import {usageError} from '../process/cli_error.js';
import type {CliError} from '../process/cli_error.js';

/** One resource of a file. */
export interface DeclaredResource {
  readonly kind: ResourceKind;
  readonly name: string;
  readonly spec: Readonly<Record<string, unknown>>;
  /** Where it was read at: it is changed only if it is still that. */
  readonly resourceVersion?: number;
}

const resourceSchema = z.strictObject({
  kind: z.enum(Object.keys(SPEC_SCHEMAS) as [ResourceKind]),
  name: z.string(),
  spec: z.record(z.string(), z.unknown()).default({}),
  resourceVersion: z.number().int().positive().optional(),
  status: z.unknown().optional(),
});

const fileSchema = z.union([
  z.strictObject({
    resources: z.array(resourceSchema),
    revision: z.number().optional(),
  }),
  z.array(resourceSchema),
  resourceSchema,
]);

/**
 * Reads a file: one resource, a list, or what `get -o json` printed. Every
 * problem is listed before anything is sent.
 *
 * @param text - What is in the file.
 * @returns The resources, or all that is wrong with them.
 */
export function parseResourceFile(
  text: string,
): Outcome<readonly DeclaredResource[], CliError> {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (err) {
    return failure(usageError(`not JSON: ${(err as Error).message}`));
  }
  const schema = schemaFor(json);
  const parsed = schema.safeParse(json);
  if (!parsed.success) {
    return failure(usageError('not valid', problemsOf(parsed.error)));
  }
  const resources = resourcesOf(parsed.data);
  const problems = resources.flatMap(specProblems);
  if (problems.length > 0) return failure(usageError('not valid', problems));
  return success(resources);
}

type FileContent = z.infer<typeof fileSchema>;

/** The one form that is meant, so that its problems are listed, not a union's. */
function schemaFor(json: unknown): z.ZodType<FileContent> {
  const [list, array, single] = fileSchema.options;
  if (Array.isArray(json)) return array;
  const isList = typeof json === 'object' && json && 'resources' in json;
  return isList ? list : single;
}

function resourcesOf(content: FileContent): readonly DeclaredResource[] {
  if (Array.isArray(content)) return content;
  return 'resources' in content ? content.resources : [content];
}

function specProblems({
  kind,
  name,
  spec,
}: DeclaredResource): readonly Problem[] {
  const checked = checkSpec(kind, name, spec);
  if (checked.ok || checked.err.kind !== 'invalid-request') return [];
  return (checked.err.problems ?? []).map(({path, message}) => ({
    path: `${kind}/${name}: ${path}`,
    message,
  }));
}

/** One request of a plan. */
export interface ApplyStep {
  readonly resource: DeclaredResource;
  /** Skipped if the resource is there already. */
  readonly onlyIfAbsent: boolean;
}

/**
 * Orders resources so that each comes after those that it names. A model names
 * its version and the version names its model, so a new model is first declared
 * without.
 *
 * @param resources - Resources of one file, in any order.
 * @returns The requests to make, one after another.
 */
export function planOf(
  resources: readonly DeclaredResource[],
): readonly ApplyStep[] {
  const of = (kind: ResourceKind) => resources.filter(r => r.kind === kind);
  const rest = RESOURCE_KINDS.filter(k => k !== 'models' && k !== 'versions');
  const bare = of('models').filter(({spec}) => spec['version'] !== undefined);
  return [
    ...bare.map(model => ({
      resource: {...model, spec: {...model.spec, version: undefined}},
      onlyIfAbsent: true,
    })),
    ...[
      ...of('models').filter(model => !bare.includes(model)),
      ...of('versions'),
      ...bare,
      ...rest.flatMap(of),
    ].map(resource => ({resource, onlyIfAbsent: false})),
  ];
}
