import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "src/generated/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        rules: {
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^$" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "variable", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "function", format: ["camelCase"] },
            ],
            curly: "error",
            eqeqeq: "error",
            "max-lines": ["error", { max: 400 }],
            "max-lines-per-function": ["error", { max: 130, skipBlankLines: true }],
        },
    },
    { files: ["test/**/*.ts", "bench/**/*.ts"], rules: { "max-lines-per-function": "off" } },
);
