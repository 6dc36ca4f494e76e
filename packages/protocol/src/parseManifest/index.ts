import { Value } from '@sinclair/typebox/value'
import { Left, Right, type Either } from 'purify-ts/Either'
import { parse } from 'yaml'
import { describeSchemaErrors, type SchemaViolation } from '../describeSchemaErrors/index.ts'
import { Manifest } from '../manifest/index.ts'
import { findReferenceViolations } from './_lib/findReferenceViolations.ts'

/**
 * Parses and checks a manifest in YAML or JSON.
 *
 * @param text - The document; JSON is accepted as a subset of YAML.
 * @returns The manifest with defaults filled in, or every violation found: its path, the value and what is allowed.
 *
 * @example
 * parseManifest('scope: demo\nteams: [{ id: demo, quota: { cpuMillis: 1000, memoryMb: 512, accelerators: 0 } }]')
 */
export function parseManifest (text: string): Either<SchemaViolation[], Manifest> {
  let document: unknown
  try {
    document = parse(text, { maxAliasCount: 100 })
  } catch (error) {
    return Left([{ path: '/', value: '', allowed: `a YAML or JSON document (${(error as Error).message.split('\n')[0]})` }])
  }
  const candidate = Value.Default(Manifest, document)
  const violations = describeSchemaErrors(Manifest, candidate)
  if (violations.length > 0) return Left(violations)
  const manifest = candidate as Manifest
  const references = findReferenceViolations(manifest)
  return references.length > 0 ? Left(references) : Right(manifest)
}
