import { Value } from '@sinclair/typebox/value'
import { Left, Right, type Either } from 'purify-ts/Either'
import { parse } from 'yaml'
import { describeSchemaErrors, type SchemaViolation } from '../describeSchemaErrors/index.ts'
import { Manifest } from '../manifest/index.ts'
import { findReferenceViolations } from './_lib/findReferenceViolations.ts'

/**
 * Parses and validates a manifest in YAML or JSON.
 *
 * @param text - The document; JSON is accepted as a subset of YAML.
 * @returns The manifest with default values filled in, or the violations found.
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
  const withDefaults = Value.Default(Manifest, document)
  const violations = describeSchemaErrors(Manifest, withDefaults)
  if (violations.length > 0) return Left(violations)
  const manifest = withDefaults as Manifest
  const referenceViolations = findReferenceViolations(manifest)
  return referenceViolations.length > 0 ? Left(referenceViolations) : Right(manifest)
}
