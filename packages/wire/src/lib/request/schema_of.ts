/** Schemas that are checked against the types of core when they are compiled. */
import type {z} from 'zod';

/** Every path of properties of a type, with unions and arrays taken apart. */
type Paths<T> = T extends readonly (infer E)[]
  ? Paths<E>
  : T extends object
    ? string extends keyof T
      ? never
      : {
          [K in keyof T & string]-?: K | `${K}.${Paths<NonNullable<T[K]>>}`;
        }[keyof T & string]
    : never;

type Missing<T, S extends z.ZodType> = Exclude<Paths<T>, Paths<z.output<S>>>;

/** Anything, unless the schema lacks a field; then it names the field. */
type Covers<T, S extends z.ZodType> = [Missing<T, S>] extends [never]
  ? unknown
  : {readonly lacks: Missing<T, S>};

/**
 * Guards against a field that is dropped in silence: a schema that lacks an
 * optional field still fits its type, and what it parses loses the field. Such
 * a schema does not compile here.
 *
 * @returns A function that takes a schema of `T` and gives it back.
 */
export function schemaOf<T>() {
  return <S extends z.ZodType<T>>(schema: S & Covers<T, S>): S => schema;
}
