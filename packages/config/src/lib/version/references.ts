/**
 * What resources name each other for: a change may not leave a name that leads
 * nowhere.
 */
import type {Problem, Resource, ResourceKind, SpecByKind} from '@oathead/core';

/** One name in a spec that must be declared. */
export interface Reference {
  readonly kind: ResourceKind;
  readonly name: string;
  /** Where it stands, as a path. */
  readonly path: string;
  /** @returns What is wrong with the resource it leads to, if anything is. */
  readonly mismatch?: (found: Resource) => string | undefined;
}

type ReferencesOf = {
  readonly [K in ResourceKind]: (
    name: string,
    spec: SpecByKind[K],
  ) => readonly Reference[];
};

const REFERENCES: ReferencesOf = {
  models: (name, spec) =>
    spec.version === undefined
      ? []
      : [
          {
            kind: 'versions',
            name: spec.version,
            path: 'spec.version',
            mismatch: found =>
              (found as Resource<'versions'>).spec.model === name
                ? undefined
                : 'is a version of another model',
          },
        ],
  versions: (name, spec) => [ofModel(spec.model)],
  adapters: (name, spec) => [ofModel(spec.model)],
  targets: (name, spec) =>
    spec.pools.map((pool, index) => ({
      kind: 'models',
      name: pool,
      path: `spec.pools.${index}`,
    })),
  callers: () => [],
  limits: name => [{kind: 'callers', name, path: 'name'}],
};

/** Where the users of a resource can be, as prefixes below the kinds. */
const USERS: {
  readonly [K in ResourceKind]: (name: string) => readonly string[];
} = {
  models: () => ['versions/', 'adapters/', 'targets/'],
  versions: () => ['models/'],
  adapters: () => [],
  targets: () => [],
  callers: name => [`limits/${name}`],
  limits: () => [],
};

/** Fields that others rely on: another value is another resource. */
const FIXED_FIELDS: {
  readonly [K in ResourceKind]: readonly (keyof SpecByKind[K])[];
} = {
  models: ['type'],
  versions: ['model', 'weights'],
  adapters: ['model', 'weights'],
  targets: [],
  callers: [],
  limits: [],
};

function ofModel(name: string): Reference {
  return {
    kind: 'models',
    name,
    path: 'spec.model',
    mismatch: found =>
      (found as Resource<'models'>).spec.type === 'model'
        ? undefined
        : 'is a plain service, not a model',
  };
}

/**
 * @param kind - Kind of a resource.
 * @param name - Its name.
 * @param spec - Its spec.
 * @returns Every name in it that must be declared.
 */
export function referencesOf<K extends ResourceKind>(
  kind: K,
  name: string,
  spec: SpecByKind[K],
): readonly Reference[] {
  return REFERENCES[kind](name, spec);
}

/**
 * @param reference - A name that must be declared.
 * @param found - What is declared under it.
 * @returns What is wrong with it, if anything is.
 */
export function referenceProblem(
  {kind, name, path, mismatch}: Reference,
  found: Resource | undefined,
): Problem | undefined {
  if (!found) return {path, message: `${kind}/${name} is not declared`};
  const wrong = mismatch?.(found);
  return wrong ? {path, message: `${kind}/${name} ${wrong}`} : undefined;
}

/**
 * @param kind - Kind of a resource.
 * @param name - Its name.
 * @returns Prefixes, such as `targets/`, below which all its users are.
 */
export function userPrefixes(
  kind: ResourceKind,
  name: string,
): readonly string[] {
  return USERS[kind](name);
}

/**
 * @param used - A resource that is to be deleted.
 * @param others - Resources that may use it.
 * @returns One problem for each place that names it.
 */
export function userProblems(
  used: {readonly kind: ResourceKind; readonly name: string},
  others: readonly Resource[],
): readonly Problem[] {
  return others.flatMap(other =>
    referencesOf(other.kind, other.name, other.spec)
      .filter(({kind, name}) => kind === used.kind && name === used.name)
      .map(({path}) => ({
        path: `${other.kind}/${other.name}.${path}`,
        message: `still uses ${used.kind}/${used.name}`,
      })),
  );
}

/**
 * @param before - A resource as it is declared.
 * @param spec - What it is to become.
 * @returns One problem for each field that may not change.
 */
export function fixedFieldProblems<K extends ResourceKind>(
  before: Resource<K>,
  spec: SpecByKind[K],
): readonly Problem[] {
  return FIXED_FIELDS[before.kind]
    .filter(field => before.spec[field] !== spec[field])
    .map(field => ({
      path: `spec.${String(field)}`,
      message: 'cannot change; declare another resource instead',
    }));
}
