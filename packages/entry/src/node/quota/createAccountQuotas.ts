/** Creates the quotas of one process from its settings. */
import type { IRandomSource } from '@umberspar/base/common/random'
import type { EntrySettings } from '../../common/entrySettings.js'
import { AccountQuotas, type AccountQuotasDependencies } from './accountQuotas.js'

/** What the quotas are created from. */
export interface AccountQuotasOptions extends Omit<AccountQuotasDependencies, 'life' | 'tolerance' | 'startedAt'> {
  readonly random: IRandomSource
  readonly settings: EntrySettings
}

/**
 * @param options what they are created from
 * @returns the quotas of all accounts at this VM
 */
export function createAccountQuotas ({ random, settings, ...dependencies }: AccountQuotasOptions): AccountQuotas {
  const { window, over, slack } = settings.quotaTolerance
  return new AccountQuotas({ ...dependencies, life: random.next().toString(36), tolerance: { windowMs: window, over, slack }, startedAt: dependencies.elapsed.now() })
}
