/** Paths of the API. */

/**
 * @param parts - Kind and name of a resource, as far as given.
 * @returns Its path.
 */
export function resourcePath(
  ...parts: readonly (string | undefined)[]
): string {
  return join('/v1/resources', parts);
}

/**
 * @param parts - Id of a job and what is asked of it, as far as given.
 * @returns Its path.
 */
export function jobPath(...parts: readonly (string | undefined)[]): string {
  return join('/v1/batch-jobs', parts);
}

/**
 * @param path - A path.
 * @param params - Its query; what is undefined is left out.
 * @returns Both.
 */
export function withQuery(
  path: string,
  params: Readonly<Record<string, string | number | undefined>>,
): string {
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries(params)) {
    if (value !== undefined) query.set(name, String(value));
  }
  return query.size === 0 ? path : `${path}?${query}`;
}

function join(root: string, parts: readonly (string | undefined)[]): string {
  return parts.reduce<string>(
    (path, part) =>
      part === undefined ? path : `${path}/${encodeURIComponent(part)}`,
    root,
  );
}
