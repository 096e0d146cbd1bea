/** Compile-time checks of schemas against the types of the core package. */
import type {z} from 'zod';

/**
 * The dotted property paths of a type, across all members of unions and the
 * elements of arrays.
 */
type Paths<T> = T extends readonly (infer E)[]
  ? Paths<E>
  : T extends object
    ? string extends keyof T
      ? never
      : {
          [K in keyof T & string]-?: K | `${K}.${Paths<NonNullable<T[K]>>}`;
        }[keyof T & string]
    : never;

/** The property paths of a type that the output of a schema lacks. */
type MissingPaths<T, S extends z.ZodType> = Exclude<
  Paths<T>,
  Paths<z.output<S>>
>;

/**
 * `unknown` if the schema has all fields of the type; otherwise a type that no
 * schema satisfies and that names the missing fields in the compiler error.
 */
type Covers<T, S extends z.ZodType> = [MissingPaths<T, S>] extends [never]
  ? unknown
  : {readonly lacks: MissingPaths<T, S>};

/**
 * Checks at compile time that a schema has every field of a type. A schema that
 * lacks an optional field would otherwise be assignable to the type, and
 * parsing would silently drop the field.
 *
 * @returns A function that returns the schema of `T` passed to it.
 */
export function schemaOf<T>() {
  return <S extends z.ZodType<T>>(schema: S & Covers<T, S>): S => schema;
}
